"""Define the report of an entry host's own state."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostReport:
    """Report the state of a host; a higher ``(incarnation, sequence)`` is newer.

    ``revision`` is the number of the configuration revision in use, ``budget_epoch``
    the epoch of the load permit allocation in use. Peers lend permits according to
    ``waiting_loads`` and ``spare_permits``.
    """

    host: str
    domain: str
    address: str
    incarnation: float
    sequence: int
    revision: int
    is_leaving: bool
    waiting_loads: int
    spare_permits: int
    budget_epoch: int
    platform_reachable: bool
    alarms: tuple[str, ...] = ()
