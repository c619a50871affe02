"""Let loads start within the region's rate."""

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

_TICK_SECONDS: Final = 0.05
_ASK_SECONDS: Final = 0.03

AskPeer = Callable[[str, PermitRequest], Coroutine[Any, Any, None]]


class LoadPermitQueue:
    """Give the permits of this keeper to its most urgent loads, and borrow more."""

    def __init__(self, context: KeeperContext, pool: PermitPool, ask: AskPeer) -> None:
        self._context = context
        self._pool = pool
        self._ask = ask
        self._wants: dict[tuple[str, AdapterRef], LoadRequest] = {}
        self._asked_at = 0.0
        self._tasks = TaskOwner()

    @property
    def waiting(self) -> int:
        """Return how many loads are waited for."""
        return len(self._wants)

    @property
    def pool(self) -> PermitPool:
        """Return the permits."""
        return self._pool

    @property
    def spare(self) -> int:
        """Return how many permits could be lent."""
        ready = self._pool.ready(self._context.clock.monotonic())
        return max(0, ready - len(self._wants))

    def start(self) -> None:
        """Begin to serve."""
        self._tasks.start(self._tick(), "load permits")

    async def stop(self) -> None:
        """End."""
        await self._tasks.stop()

    def want(self, want: LoadRequest) -> None:
        """Ask for a load; a second ask for it makes it more urgent at most."""
        key = (want.server, want.adapter)
        known = self._wants.get(key)
        if known is None or want.urgency < known.urgency:
            self._wants[key] = want
        self.pump()

    def wanted(self, server: str) -> list[AdapterRef]:
        """Return the adapters that wait for a load on a server."""
        return [want.adapter for want in self._wants.values() if want.server == server]

    def withdraw(self, server: str, adapter: AdapterRef) -> None:
        """Ask no longer."""
        self._wants.pop((server, adapter), None)

    def expected_wait(self) -> float:
        """Return the seconds until a further load would start."""
        share = max(self._pool.share, 1)
        ahead = len(self._wants) - self._pool.ready(self._context.clock.monotonic())
        return max(0.0, ahead / share * WINDOW_SECONDS)

    def pump(self) -> None:
        """Start the most urgent loads that have a slot and a permit."""
        for want in sorted(self._wants.values(), key=lambda item: item.urgency):
            if not want.has_slot():
                continue
            now = self._context.clock.monotonic()
            permit = self._pool.take(now)
            if permit is None:
                self._borrow(now)
                return
            del self._wants[want.server, want.adapter]
            want.start(want.adapter, permit)

    def lend(self, request: PermitRequest) -> PermitGrant | None:
        """Return a loan for a peer, if permits are spare."""
        if request.epoch != self._pool.epoch:
            return None
        now = self._context.clock.monotonic()
        lent = self._pool.lend(request.wanted, len(self._wants), now)
        if lent == 0:
            return None
        return PermitGrant(self._context.host, self._pool.epoch, lent, request.sent_at)

    def granted(self, grant: PermitGrant) -> None:
        """Use a loan."""
        self._pool.borrow(grant.count, grant.epoch, grant.sent_at)
        self.pump()

    def _borrow(self, now: float) -> None:
        if now - self._asked_at < _ASK_SECONDS:
            return
        lenders = [
            host
            for host in self._context.view.live_hosts(now)
            if host.spare_permits > 0 and host.host != self._context.host
        ]
        if not lenders:
            return
        self._asked_at = now
        best = max(lenders, key=lambda host: (host.spare_permits, host.host))
        request = PermitRequest(
            self._context.host, self._pool.epoch, len(self._wants), now
        )
        self._tasks.start(self._ask(best.address, request), "borrow permits")

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            if self._wants:
                self.pump()
