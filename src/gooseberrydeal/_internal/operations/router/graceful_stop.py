"""Drain the connections of a host before its process ends."""

import asyncio
from collections.abc import Sequence
from typing import Final

from gooseberrydeal._internal.network.http1.caller_listener import CallerListener
from gooseberrydeal._internal.operations.router.request_handler import RequestHandler

# The load balancer probes readiness once a second and removes a host from its rotation
# after two failed probes.
_LEAVE_ROTATION_SECONDS: Final = 2.6
_POLL_SECONDS: Final = 0.05
# Part of the grace period that is reserved for the exit of the process itself.
_EXIT_SECONDS: Final = 0.25


class GracefulStop:
    """Leave the load balancer's rotation, and let the requests in progress end."""

    def __init__(
        self,
        handler: RequestHandler,
        callers: CallerListener,
        peers: CallerListener,
    ) -> None:
        self._handler = handler
        self._callers = callers
        self._listeners: Sequence[CallerListener] = (callers, peers)

    async def drain(self, grace_seconds: float) -> int:
        """Serve what can end in time; return how many connections are still busy."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_seconds - _EXIT_SECONDS
        self._handler.drain(deadline)
        await asyncio.sleep(_LEAVE_ROTATION_SECONDS)
        self._callers.stop_accepting()
        self._handler.refuse_new()
        self._callers.close_idle()
        while self._busy_count and loop.time() < deadline:
            await asyncio.sleep(_POLL_SECONDS)
            self._callers.close_idle()
        return self._busy_count

    @property
    def _busy_count(self) -> int:
        return sum(listener.busy_count for listener in self._listeners)
