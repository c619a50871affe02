"""Read the answer to one request from an owner."""

import asyncio
import contextlib
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError
from gooseberrydeal._internal.models.messages.cancel import Cancel
from gooseberrydeal._internal.models.messages.credit import Credit
from gooseberrydeal._internal.models.messages.finished import Finished
from gooseberrydeal._internal.models.messages.refused import Refused
from gooseberrydeal._internal.models.messages.started import Started
from gooseberrydeal._internal.models.messages.tokens import Tokens
from gooseberrydeal._internal.network.peer_connection import PeerConnection

StreamMessage = Started | Tokens | Finished | Refused

_CREDIT_STEP: Final = 32


class RemoteStream:
    """Own the frames of one stream, and let more flow as they are read."""

    def __init__(self, connection: PeerConnection, number: int) -> None:
        self._connection = connection
        self._number = number
        self._queue: asyncio.Queue[StreamMessage | None] = asyncio.Queue()
        self._unacknowledged = 0
        self._is_ended = False

    def put(self, message: StreamMessage) -> None:
        """Add a message from the owner."""
        self._queue.put_nowait(message)

    def lost(self) -> None:
        """Note that the connection has ended."""
        self._queue.put_nowait(None)

    async def next(self) -> StreamMessage:
        """Return the next message, or raise :class:`PeerLostError`."""
        message = await self._queue.get()
        if message is None:
            self._is_ended = True
            raise PeerLostError("the owner was lost while it answered")
        if isinstance(message, (Finished, Refused)):
            self._is_ended = True
        if isinstance(message, Tokens):
            await self._acknowledge()
        return message

    async def cancel(self) -> None:
        """Withdraw the request unless it has ended."""
        if self._is_ended:
            return
        self._is_ended = True
        with contextlib.suppress(PeerLostError):
            await self._connection.send(Cancel(self._number))

    async def _acknowledge(self) -> None:
        self._unacknowledged += 1
        if self._unacknowledged < _CREDIT_STEP:
            return
        credit = Credit(self._number, self._unacknowledged)
        self._unacknowledged = 0
        with contextlib.suppress(PeerLostError):
            await self._connection.send(credit)
