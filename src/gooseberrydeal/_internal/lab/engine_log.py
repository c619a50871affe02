"""Record the activity of an engine stand-in."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class RunRecord:
    """Identify a completion request that the engine accepted."""

    request_id: str
    copy: str
    server: str


@dataclass
class EngineLog:
    """Collect runs and violations for tests and experiments to check.

    ``evicted_in_use`` counts adapters that were unloaded while they served requests;
    ``stale_orders`` counts load and unload requests with an outdated fencing number.
    """

    runs: list[RunRecord] = field(default_factory=list)
    evicted_in_use: int = 0
    stale_orders: int = 0
    loads: int = 0
    failed_loads: int = 0
    unloads: int = 0
    tokens: int = 0
    busy_seconds: float = 0.0
