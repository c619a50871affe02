"""Share what the tasks of a keeper have in common."""

from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.network.metrics import Metrics
from gooseberrydeal._internal.policy.crash_suspects import CrashSuspects
from gooseberrydeal._internal.policy.demand import DemandTracker
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.utils.clock import Clock
from gooseberrydeal._internal.utils.journal import Journal


def _nothing() -> None:
    """Do nothing until a listener is set."""


@dataclass
class KeeperContext:
    """Hold the state that several tasks read; each part has one writer.

    With ``is_plain`` the keeper does what plain servers do, for comparison: first
    come first served, least recently used evicted, nothing shed.
    """

    host: str
    domain: str
    address: str
    clock: Clock
    metrics: Metrics
    journal: Journal
    suspects: CrashSuspects
    demand: DemandTracker
    view: FleetView
    is_plain: bool = False
    report_changed: Callable[[], None] = _nothing
    share_suspect: Callable[[str, str, bool], None] = field(
        default=lambda fingerprint, server, was_alone: None
    )
    configuration: Callable[[], Configuration] = field(
        default=lambda: Configuration(())
    )
