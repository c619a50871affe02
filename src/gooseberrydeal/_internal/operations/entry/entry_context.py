"""Define the state shared by the tasks of an entry."""

from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.network.metrics import Metrics
from gooseberrydeal._internal.policy.demand import DemandTracker
from gooseberrydeal._internal.policy.fleet_view import FleetView
from gooseberrydeal._internal.utils.clock import Clock


@dataclass
class EntryContext:
    """Hold the state shared by the tasks of an entry.

    ``configuration`` returns the configuration in force, ``None`` before the first.
    """

    host: str
    domain: str
    clock: Clock
    metrics: Metrics
    view: FleetView
    demand: DemandTracker
    configuration: Callable[[], Configuration | None]
