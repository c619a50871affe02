"""Exchange messages with one peer over a socket."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import PeerLostError, PeerProtocolError
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.models.messages.ping import Ping
from gooseberrydeal._internal.network.codec import Message, decode, encode
from gooseberrydeal._internal.network.interfaces.peer_transport import PeerSocket

logger = logging.getLogger(__name__)

_PING_INTERVAL_SECONDS: Final = 1.0
_PEER_TIMEOUT_SECONDS: Final = 3.0
_SEND_TIMEOUT_SECONDS: Final = 3.0

MessageHandler = Callable[["PeerConnection", Message], None]


class PeerConnection:
    """Own the socket to one peer, and close it if the peer stops responding.

    An idle connection is kept alive by pings, so that silence means a lost peer.
    """

    def __init__(self, socket: PeerSocket, on_message: MessageHandler) -> None:
        self._socket = socket
        self._on_message = on_message
        self._peer: Hello | None = None
        self._ping_number = 0
        self._last_received_at = asyncio.get_running_loop().time()
        self._is_open = True
        self._bytes_sent = 0
        self._close_callbacks: list[Callable[[PeerConnection], None]] = []

    @property
    def peer(self) -> Hello | None:
        """Return the peer's hello message, or ``None`` if it has not arrived yet."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        return self._is_open

    @property
    def bytes_sent(self) -> int:
        """Return the number of bytes in the messages sent."""
        return self._bytes_sent

    def on_close(self, callback: Callable[["PeerConnection"], None]) -> None:
        """Call back once when the connection ends, or at once if it has ended."""
        if not self._is_open:
            callback(self)
            return
        self._close_callbacks.append(callback)

    async def send(self, message: Message) -> None:
        """Send a message; raise :class:`PeerLostError` if the connection is lost."""
        await self.send_encoded(encode(message))

    async def send_encoded(self, data: bytes) -> None:
        """Send an encoded message, such as one encoded once for several peers."""
        if not self._is_open:
            raise PeerLostError("connection to the peer is closed")
        self._bytes_sent += len(data)
        try:
            async with asyncio.timeout(_SEND_TIMEOUT_SECONDS):
                await self._socket.send(data)
        except (TimeoutError, OSError) as error:
            self._mark_closed()
            raise PeerLostError(
                "connection to the peer was lost or timed out while sending"
            ) from error

    async def run(self) -> None:
        """Receive messages until the connection ends or the peer stops responding."""
        ping_task = asyncio.create_task(self._send_pings())
        try:
            async for data in self._socket.receive():
                self._last_received_at = asyncio.get_running_loop().time()
                await self._receive(data)
        except OSError:
            logger.debug("peer connection was lost")
        except PeerProtocolError as error:
            logger.warning(
                "closing peer connection after an invalid message: %s", error
            )
        finally:
            ping_task.cancel()
            self._mark_closed()
            await self.close()

    async def close(self) -> None:
        """Close the connection, with a time limit in case the peer does not respond."""
        self._mark_closed()
        with contextlib.suppress(Exception):
            async with asyncio.timeout(_SEND_TIMEOUT_SECONDS):
                await self._socket.close()

    async def _receive(self, data: bytes) -> None:
        message = decode(data)
        if message is None:
            return
        if isinstance(message, Ping):
            if not message.is_answer:
                with contextlib.suppress(PeerLostError):
                    await self.send(Ping(message.number, is_answer=True))
            return
        if isinstance(message, Hello):
            self._peer = message
        self._on_message(self, message)

    async def _send_pings(self) -> None:
        """Ping an idle peer, and abort the connection if it stops responding."""
        loop = asyncio.get_running_loop()
        while self._is_open:
            await asyncio.sleep(_PING_INTERVAL_SECONDS)
            idle_seconds = loop.time() - self._last_received_at
            if idle_seconds > _PEER_TIMEOUT_SECONDS:
                logger.info(
                    "peer has stopped responding to pings; closing the connection"
                )
                self._abort()
                return
            if idle_seconds < _PING_INTERVAL_SECONDS:
                continue
            self._ping_number += 1
            with contextlib.suppress(PeerLostError):
                await self.send(Ping(self._ping_number))

    def _abort(self) -> None:
        self._mark_closed()
        self._socket.abort()

    def _mark_closed(self) -> None:
        if not self._is_open:
            return
        self._is_open = False
        callbacks = self._close_callbacks
        self._close_callbacks = []
        for callback in callbacks:
            callback(self)
