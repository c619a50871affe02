"""Queue adapter loads until the region's rate limit permits them."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.messages.permit_grant import PermitGrant
from gooseberrydeal._internal.models.messages.permit_request import PermitRequest
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.load_request import LoadRequest
from gooseberrydeal._internal.policy.permit_pool import WINDOW_SECONDS, PermitPool
from gooseberrydeal._internal.utils.tasks import TaskOwner

_TICK_INTERVAL_SECONDS: Final = 0.05
_MIN_BORROW_INTERVAL_SECONDS: Final = 0.03

RequestPermits = Callable[[str, PermitRequest], Coroutine[Any, Any, None]]


class LoadPermitQueue:
    """Start the most urgent loads, with permits of this keeper or borrowed from peers.

    An adapter load starts only with a permit, so that all keepers of a region together
    observe the rate limit of the weight store.
    """

    def __init__(
        self, context: KeeperContext, pool: PermitPool, request_permits: RequestPermits
    ) -> None:
        self._context = context
        self._pool = pool
        self._request_permits = request_permits
        self._requests: dict[tuple[str, AdapterRef], LoadRequest] = {}
        self._last_borrow_at = 0.0
        self._tasks = TaskOwner()

    @property
    def waiting(self) -> int:
        """Return the number of loads that wait for a permit or a slot."""
        return len(self._requests)

    @property
    def pool(self) -> PermitPool:
        """Return the permits of this keeper."""
        return self._pool

    @property
    def spare(self) -> int:
        """Return the number of permits that are ready and not needed by own loads."""
        ready = self._pool.ready(self._context.clock.monotonic())
        return max(0, ready - len(self._requests))

    def start(self) -> None:
        """Start the periodic task that starts waiting loads."""
        self._tasks.start(self._start_loads_periodically(), "load permits")

    async def stop(self) -> None:
        """Cancel all tasks."""
        await self._tasks.stop()

    def request_load(self, request: LoadRequest) -> None:
        """Queue a load; a repeated request can only make it more urgent."""
        key = (request.server, request.adapter)
        known = self._requests.get(key)
        if known is None or request.urgency < known.urgency:
            self._requests[key] = request
        self.start_loads()

    def pending_loads(self, server: str) -> list[AdapterRef]:
        """Return the adapters that wait for a load on a server."""
        return [
            item.adapter for item in self._requests.values() if item.server == server
        ]

    def withdraw(self, server: str, adapter: AdapterRef) -> None:
        """Remove a load from the queue, if it is there."""
        self._requests.pop((server, adapter), None)

    def expected_wait(self) -> float:
        """Return the estimated seconds until a newly queued load starts."""
        share = max(self._pool.share, 1)
        ahead = len(self._requests) - self._pool.ready(self._context.clock.monotonic())
        return max(0.0, ahead / share * WINDOW_SECONDS)

    def start_loads(self) -> None:
        """Start loads in order of urgency while a slot and a permit are available."""
        for request in sorted(self._requests.values(), key=lambda item: item.urgency):
            if not request.has_slot():
                continue
            now = self._context.clock.monotonic()
            permit = self._pool.take(now)
            if permit is None:
                self._borrow(now)
                return
            del self._requests[request.server, request.adapter]
            request.start(request.adapter, permit)

    def lend(self, request: PermitRequest) -> PermitGrant | None:
        """Lend spare permits to a peer; return ``None`` if there are none to lend.

        Requests that belong to another division of the permits are declined.
        """
        if request.epoch != self._pool.epoch:
            return None
        now = self._context.clock.monotonic()
        lent = self._pool.lend(request.requested_count, len(self._requests), now)
        if lent == 0:
            return None
        return PermitGrant(self._context.host, self._pool.epoch, lent, request.sent_at)

    def add_loan(self, grant: PermitGrant) -> None:
        """Add permits lent by a peer, and start loads with them."""
        self._pool.borrow(grant.count, grant.epoch, grant.sent_at)
        self.start_loads()

    def _borrow(self, now: float) -> None:
        if now - self._last_borrow_at < _MIN_BORROW_INTERVAL_SECONDS:
            return
        lenders = [
            host
            for host in self._context.view.live_hosts(now)
            if host.spare_permits > 0 and host.host != self._context.host
        ]
        if not lenders:
            return
        self._last_borrow_at = now
        lender = max(lenders, key=lambda host: (host.spare_permits, host.host))
        request = PermitRequest(
            self._context.host, self._pool.epoch, len(self._requests), now
        )
        self._tasks.start(
            self._request_permits(lender.address, request), "borrow permits"
        )

    async def _start_loads_periodically(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_SECONDS)
            if self._requests:
                self.start_loads()
