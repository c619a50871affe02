"""Define the state that the tasks of a keeper share."""

from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.network.metrics import Metrics
from gooseberrydeal._internal.policy.crash_suspects import CrashSuspects
from gooseberrydeal._internal.policy.demand import DemandTracker
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.utils.clock import Clock
from gooseberrydeal._internal.utils.journal import Journal


def _do_nothing() -> None:
    """Do nothing; the default until a callback is set."""


@dataclass
class KeeperContext:
    """Hold the state that several tasks read; each part has only one writer.

    ``is_plain`` selects the baseline policy for benchmarks, which behaves like plain
    servers: requests are served in order of arrival, the least recently used adapter
    is evicted and no request is shed.

    ``report_changed`` requests that changed reports be sent without delay.
    ``share_suspect`` takes the fingerprint of a request that may have crashed a server,
    the server's name, and whether no other request was running.
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
    report_changed: Callable[[], None] = _do_nothing
    share_suspect: Callable[[str, str, bool], None] = field(
        default=lambda fingerprint, server, was_alone: None
    )
    configuration: Callable[[], Configuration] = field(
        default=lambda: Configuration(())
    )
