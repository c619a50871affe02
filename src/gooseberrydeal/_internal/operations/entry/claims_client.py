"""Claim requests that must not be repeated."""

import asyncio
import logging
from collections.abc import Sequence
from itertools import count
from typing import Final

from gooseberrydeal._internal.exceptions import PeerError
from gooseberrydeal._internal.models.claim_verdict import ClaimVerdict
from gooseberrydeal._internal.models.messages.claim_reply import ClaimReply
from gooseberrydeal._internal.models.messages.claim_request import ClaimRequest
from gooseberrydeal._internal.models.messages.claim_result import ClaimResult
from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.utils import rendezvous

logger = logging.getLogger(__name__)

_REPLY_SECONDS: Final = 3.0
_TRIES: Final = 2


class ClaimsClient:
    """Send each claim to the keeper of its key range, so that claims share writes.

    Any keeper can write any claim; the ranges only make the batches larger.
    """

    def __init__(self, context: EntryContext, dialer: PeerDialer) -> None:
        self._context = context
        self._dialer = dialer
        self._numbers = count(1)
        self._pending: dict[int, asyncio.Future[ClaimReply]] = {}

    def receive(self, reply: ClaimReply) -> None:
        """Hand a reply to the request that waits for it."""
        future = self._pending.pop(reply.number, None)
        if future is not None and not future.done():
            future.set_result(reply)

    async def claim(self, key: str, request_id: str, body_hash: str) -> ClaimReply:
        """Claim a request; the verdict is ``unavailable`` if no keeper could."""
        for keeper in self._keepers(key)[:_TRIES]:
            request = ClaimRequest(
                next(self._numbers), key, request_id, body_hash, self._context.host
            )
            reply = await self._ask(keeper.address, request)
            if reply is not None and reply.verdict != ClaimVerdict.UNAVAILABLE.value:
                return reply
        return ClaimReply(0, ClaimVerdict.UNAVAILABLE.value)

    async def record(
        self,
        key: str,
        request_id: str,
        body_hash: str,
        ran: Ran,
        status: int = 0,
        content_type: str = "",
        answer: bytes = b"",
    ) -> None:
        """Record the outcome of a claimed request."""
        result = ClaimResult(
            0,
            key,
            request_id,
            body_hash,
            self._context.host,
            ran.value,
            status,
            content_type,
            answer,
        )
        for keeper in self._keepers(key)[:_TRIES]:
            try:
                connection = await self._dialer.connection(keeper.address)
                await connection.send(result)
            except PeerError:
                continue
            return
        logger.warning("claim result not sent", extra={"request_id": request_id})

    async def _ask(self, address: str, request: ClaimRequest) -> ClaimReply | None:
        future: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._pending[request.number] = future
        try:
            connection = await self._dialer.connection(address)
            await connection.send(request)
            async with asyncio.timeout(_REPLY_SECONDS):
                return await future
        except (PeerError, TimeoutError):
            return None
        finally:
            self._pending.pop(request.number, None)

    def _keepers(self, key: str) -> Sequence[HostReport]:
        now = self._context.clock.monotonic()
        live = self._context.view.live_hosts(now)
        reaching = [host for host in live if host.platform_reachable]
        by_name = {host.host: host for host in reaching or live}
        key_range = key.split("/")[1]
        return [by_name[name] for name in rendezvous.ranked(key_range, by_name)]
