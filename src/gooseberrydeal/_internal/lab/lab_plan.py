"""Describe a deployment that uses stand-in servers."""

from dataclasses import dataclass, field

from gooseberrydeal._internal.lab.engine_model import EngineModel


@dataclass(frozen=True)
class LabPlan:
    """Set the size of a deployment and the behavior of its stand-ins.

    ``fenced_engines`` makes the engines reject outdated fencing numbers. A call of a
    plain service takes ``plain_service_seconds``. The weight store limits loads to
    ``loads_per_second``; fetches slow down above ``loads_at_full_speed`` loads in
    flight, and installations above ``loads_in_flight``.
    """

    name: str = "lab"
    domains: tuple[str, ...] = ("d1", "d2", "d3")
    engines_per_domain: int = 3
    plain_servers_per_domain: int = 1
    keepers_per_domain: int = 1
    entries_per_domain: int = 1
    adapters: int = 30
    engine: EngineModel = field(default_factory=EngineModel)
    plain_service_seconds: float = 0.01
    loads_per_second: int = 9
    loads_at_full_speed: int = 3
    loads_in_flight: int = 24
    load_seconds: float = 0.25
    fenced_engines: bool = True
    policy: str = "cost"
    short_deadline_seconds: float = 5.0
    long_max_share: float = 0.5
    claim_window_seconds: int = 3600
