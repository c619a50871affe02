"""Record what an engine stand-in really did."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class RunRecord:
    """Record one generation that was begun."""

    request_id: str
    copy: str
    server: str


@dataclass
class EngineLog:
    """Collect runs and violations for the checks of an experiment."""

    runs: list[RunRecord] = field(default_factory=list)
    evicted_in_use: int = 0
    stale_orders: int = 0
    loads: int = 0
    failed_loads: int = 0
    unloads: int = 0
    tokens: int = 0
    busy_seconds: float = 0.0
