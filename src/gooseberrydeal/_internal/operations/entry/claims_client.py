"""Claim requests that must not be executed twice."""

import asyncio
import logging
from collections.abc import Sequence
from itertools import count
from typing import Final

from gooseberrydeal._internal.exceptions import PeerError
from gooseberrydeal._internal.models.claim_verdict import ClaimStatus
from gooseberrydeal._internal.models.messages.claim_reply import ClaimReply
from gooseberrydeal._internal.models.messages.claim_request import ClaimRequest
from gooseberrydeal._internal.models.messages.claim_result import ClaimResult
from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.utils import rendezvous

logger = logging.getLogger(__name__)

_REPLY_TIMEOUT_SECONDS: Final = 3.0
_MAX_KEEPERS_TRIED: Final = 2


class ClaimsClient:
    """Send idempotency claims and their outcomes to keepers, which store them.

    All entries send the claims of one key range to the same keeper, so that it can
    store many claims in one write. This only makes the batches larger: any keeper can
    store any claim.
    """

    def __init__(self, context: EntryContext, dialer: PeerDialer) -> None:
        self._context = context
        self._dialer = dialer
        self._request_numbers = count(1)
        self._pending: dict[int, asyncio.Future[ClaimReply]] = {}

    def receive(self, reply: ClaimReply) -> None:
        """Pass a reply to the request that awaits it."""
        future = self._pending.pop(reply.number, None)
        if future is not None and not future.done():
            future.set_result(reply)

    async def claim(self, key: str, request_id: str, body_hash: str) -> ClaimReply:
        """Claim a request.

        The claim status is ``unavailable`` if no keeper could store the claim.
        """
        for keeper in self._ranked_keepers(key)[:_MAX_KEEPERS_TRIED]:
            request = ClaimRequest(
                next(self._request_numbers),
                key,
                request_id,
                body_hash,
                self._context.host,
            )
            reply = await self._send_request(keeper.address, request)
            if (
                reply is not None
                and reply.claim_status != ClaimStatus.UNAVAILABLE.value
            ):
                return reply
        return ClaimReply(0, ClaimStatus.UNAVAILABLE.value)

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
        """Send the outcome of a claimed request to be stored; log if that fails.

        The message is not acknowledged.
        """
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
        for keeper in self._ranked_keepers(key)[:_MAX_KEEPERS_TRIED]:
            try:
                connection = await self._dialer.connect(keeper.address)
                await connection.send(result)
            except PeerError:
                continue
            return
        logger.warning(
            "claim result not sent: none of the keepers tried is reachable",
            extra={"request_id": request_id},
        )

    async def _send_request(
        self, address: str, request: ClaimRequest
    ) -> ClaimReply | None:
        """Return the keeper's reply, ``None`` if it is unreachable or too slow."""
        future: asyncio.Future[ClaimReply] = asyncio.get_running_loop().create_future()
        self._pending[request.number] = future
        try:
            connection = await self._dialer.connect(address)
            await connection.send(request)
            async with asyncio.timeout(_REPLY_TIMEOUT_SECONDS):
                return await future
        except (PeerError, TimeoutError):
            return None
        finally:
            self._pending.pop(request.number, None)

    def _ranked_keepers(self, key: str) -> Sequence[HostReport]:
        """Return the live keepers in order of preference for the key's range.

        Those that can reach the platform, if any, are the only candidates.
        """
        now = self._context.clock.monotonic()
        live = self._context.view.live_hosts(now)
        with_platform = [host for host in live if host.platform_reachable]
        by_name = {host.host: host for host in with_platform or live}
        key_range = key.split("/")[1]
        return [by_name[name] for name in rendezvous.ranked(key_range, by_name)]
