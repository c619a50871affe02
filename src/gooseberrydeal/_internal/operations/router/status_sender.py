"""Define how an engine's status is sent."""

from collections.abc import Callable, Collection

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus

# Sends a status to the given hosts, which use the engine or asked about it.
StatusSender = Callable[[EngineStatus, Collection[HostId]], None]
