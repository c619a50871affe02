"""Relay the reply of another host to the caller."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.peer_reply import PeerReply
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.peer_fields import decode_peer_reply
from gooseberrydeal._internal.network.http1.response_sink import ResponseEnd
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.operations.router.reply_relay import ReplyRelay

# Another host may serve a request that a host refused for one of these reasons.
_OTHERS_MAY_SERVE: Final = frozenset(
    {
        RefusalReason.HOST_OVERLOADED,
        RefusalReason.NO_SERVER,
        RefusalReason.SERVERS_UNREACHABLE,
        RefusalReason.SERVER_BUSY,
        RefusalReason.SHUTTING_DOWN,
        RefusalReason.NO_CONFIGURATION,
        RefusalReason.UNKNOWN_OPERATION,
        RefusalReason.UNAUTHENTICATED,
        RefusalReason.ACCOUNT_UNCONFIRMED,
        RefusalReason.CONFIGURATION_DIFFERS,
    }
)


class PeerOutcome(Enum):
    """List what became of a request that was passed on.

    ``NOT_TAKEN`` means that it did not run, ``LOST`` that this is not known.
    """

    SERVED = "served"
    NOT_TAKEN = "not_taken"
    LOST = "lost"


class PeerAttempt:
    """Relay a reply as it arrives, unless the host could not serve the request.

    ``on_reply`` is called with what the host says of it.
    """

    def __init__(
        self,
        exchange: CallerExchange,
        codec: RelayCodec,
        connection: ServerConnection,
        on_reply: Callable[[PeerReply], None],
    ) -> None:
        self._relay = ReplyRelay(exchange, codec, connection)
        self._on_reply = on_reply
        self._is_refused = False
        self._refusal: RefusalReason | None = None
        loop = asyncio.get_running_loop()
        self._done: asyncio.Future[PeerOutcome] = loop.create_future()

    @property
    def refusal(self) -> RefusalReason | None:
        """Return why the host refused the request, ``None`` if it did not."""
        return self._refusal

    async def outcome(self) -> PeerOutcome:
        """Wait for the end of the reply and return the outcome."""
        try:
            return await self._done
        finally:
            self._relay.stop()

    def head_received(self, head: ResponseHead) -> None:
        """Start relaying the reply, unless another host may serve the request."""
        reply = decode_peer_reply(head.headers)
        self._on_reply(reply)
        self._refusal = reply.refusal
        if reply.refusal in _OTHERS_MAY_SERVE:
            self._is_refused = True
            return
        self._relay.start(head)

    def body_received(self, data: bytes) -> None:
        """Relay a part of the body."""
        if self._relay.is_active:
            self._relay.write(data)

    def response_ended(self, end: ResponseEnd) -> None:
        """End the caller's reply; one that was broken off must not look complete."""
        is_whole = end in (ResponseEnd.COMPLETE, ResponseEnd.EXCESS)
        if self._is_refused:
            self._finish(PeerOutcome.NOT_TAKEN)
        elif self._relay.is_active and is_whole:
            self._relay.finish()
            self._finish(PeerOutcome.SERVED)
        else:
            self._finish(PeerOutcome.LOST)

    def _finish(self, outcome: PeerOutcome) -> None:
        if not self._done.done():
            self._done.set_result(outcome)
