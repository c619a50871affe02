"""Receive the answer to one request from the owner of a server."""

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

# Credit is granted for this many frames at a time, to send fewer messages.
_FRAMES_PER_GRANT: Final = 32


class RemoteStream:
    """Buffer the messages of one stream, and grant credit for the frames read from it.

    The owner stops sending when it has no credit left, which bounds the buffer.
    """

    def __init__(self, connection: PeerConnection, number: int) -> None:
        self._connection = connection
        self._number = number
        self._queue: asyncio.Queue[StreamMessage | None] = asyncio.Queue()
        self._frames_since_grant = 0
        self._is_ended = False

    def put(self, message: StreamMessage) -> None:
        """Add a message received from the owner."""
        self._queue.put_nowait(message)

    def connection_lost(self) -> None:
        """End the stream because its connection was lost."""
        self._queue.put_nowait(None)

    async def next(self) -> StreamMessage:
        """Return the next message.

        Raises :class:`PeerLostError` if the connection is lost before the answer ends.
        """
        message = await self._queue.get()
        if message is None:
            self._is_ended = True
            raise PeerLostError(
                "connection to the owner of the server lost before the answer ended"
            )
        if isinstance(message, (Finished, Refused)):
            self._is_ended = True
        if isinstance(message, Tokens):
            await self._grant_credit()
        return message

    async def cancel(self) -> None:
        """Cancel the request unless it has ended."""
        if self._is_ended:
            return
        self._is_ended = True
        with contextlib.suppress(PeerLostError):
            await self._connection.send(Cancel(self._number))

    async def _grant_credit(self) -> None:
        self._frames_since_grant += 1
        if self._frames_since_grant < _FRAMES_PER_GRANT:
            return
        credit = Credit(self._number, self._frames_since_grant)
        self._frames_since_grant = 0
        with contextlib.suppress(PeerLostError):
            await self._connection.send(credit)
