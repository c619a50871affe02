"""Listen for callers and for other hosts, within what the host has room for."""

from collections.abc import Callable

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.host_settings import HostSettings
from gooseberrydeal._internal.network.http1.caller_listener import CallerListener
from gooseberrydeal._internal.network.http1.host_resources import HostResources
from gooseberrydeal._internal.network.http1.peer_fields import refusal_field
from gooseberrydeal._internal.operations.router.graceful_stop import GracefulStop
from gooseberrydeal._internal.operations.router.metadata_view import MetadataView
from gooseberrydeal._internal.operations.router.peer_requests import (
    PeerRequestHandler,
)
from gooseberrydeal._internal.operations.router.request_handler import RequestHandler
from gooseberrydeal._internal.policy.host_memory.host_budget import HostBudget


class HostListeners:
    """Own both listening sockets, whose connections share one budget of memory."""

    def __init__(
        self,
        settings: HostSettings,
        handler: RequestHandler,
        view: MetadataView,
        count_limit: Callable[[str], None],
    ) -> None:
        budget = HostBudget.from_limits(settings.memory_bytes, settings.max_descriptors)
        self._resources = HostResources(budget, count_limit)
        self._handler = handler
        self._callers = CallerListener(
            settings.callers, handler, self._resources, budget.caller_connections
        )
        self._peers = CallerListener(
            settings.peers,
            PeerRequestHandler(handler, view),
            self._resources,
            budget.peer_connections,
            (refusal_field(RefusalReason.HOST_OVERLOADED),),
        )

    @property
    def callers(self) -> CallerListener:
        """Return the listener for callers."""
        return self._callers

    @property
    def resources(self) -> HostResources:
        """Return what the connections hold, and the budget for it."""
        return self._resources

    async def start(self) -> None:
        """Listen; raise ``OSError`` if an address cannot be bound."""
        await self._peers.start()
        await self._callers.start()

    async def drain(self, grace: float) -> int:
        """Let requests end in ``grace`` seconds; return how many did not."""
        stop = GracefulStop(self._handler, self._callers, self._peers)
        return await stop.drain(grace)

    def abort(self) -> None:
        """Close the sockets and all connections at once."""
        self._callers.abort()
        self._peers.abort()
