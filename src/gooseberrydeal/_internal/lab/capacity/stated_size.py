"""Define the deployment size that the design must support."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StatedSize:
    """Hold the users' expected load over the next two years, and resource budgets.

    ``core_share``, ``memory_megabytes`` and ``kilobytes_per_second`` are budgets per
    node; those for the store are totals of the deployment.
    """

    nodes: int = 340
    engines: int = 600
    domains: int = 6
    adapters: int = 42_000
    requests_per_second: int = 2_900
    tokens_per_second: int = 600_000
    changes_per_day: int = 590
    host_changes_per_day: int = 63
    core_share: float = 0.046
    memory_megabytes: float = 32.0
    kilobytes_per_second: float = 23.0
    store_reads_per_second: float = 2_000.0
    store_writes_per_second: float = 300.0
