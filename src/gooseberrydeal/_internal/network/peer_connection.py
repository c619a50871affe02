"""Exchange messages with one peer."""

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

PING_SECONDS: Final = 1.0
SILENCE_SECONDS: Final = 3.0
_SEND_SECONDS: Final = 3.0

MessageHandler = Callable[["PeerConnection", Message], None]


class PeerConnection:
    """Own one socket and tell silence from idleness by heartbeats."""

    def __init__(self, socket: PeerSocket, on_message: MessageHandler) -> None:
        self._socket = socket
        self._on_message = on_message
        self._peer: Hello | None = None
        self._ping_number = 0
        self._last_heard = asyncio.get_running_loop().time()
        self._is_open = True
        self._bytes_sent = 0
        self._on_close: list[Callable[[PeerConnection], None]] = []

    @property
    def peer(self) -> Hello | None:
        """Return how the peer introduced itself."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        return self._is_open

    @property
    def bytes_sent(self) -> int:
        """Return how many bytes of messages were sent."""
        return self._bytes_sent

    def on_close(self, callback: Callable[["PeerConnection"], None]) -> None:
        """Call back once when the connection ends."""
        if not self._is_open:
            callback(self)
            return
        self._on_close.append(callback)

    async def send(self, message: Message) -> None:
        """Send a message, or raise :class:`PeerLostError`."""
        await self.send_encoded(encode(message))

    async def send_encoded(self, data: bytes) -> None:
        """Send a message that was encoded once for several peers."""
        if not self._is_open:
            raise PeerLostError("connection to the peer is closed")
        self._bytes_sent += len(data)
        try:
            async with asyncio.timeout(_SEND_SECONDS):
                await self._socket.send(data)
        except (TimeoutError, OSError) as error:
            self._mark_closed()
            raise PeerLostError("connection to the peer was lost") from error

    async def run(self) -> None:
        """Receive messages until the connection ends or falls silent."""
        pinging = asyncio.create_task(self._ping_until_silent())
        try:
            async for data in self._socket.receive():
                self._last_heard = asyncio.get_running_loop().time()
                await self._receive(data)
        except OSError:
            logger.debug("peer connection ended")
        except PeerProtocolError as error:
            logger.warning("peer sent a malformed message: %s", error)
        finally:
            pinging.cancel()
            self._mark_closed()
            await self.close()

    async def close(self) -> None:
        """Close the connection without waiting for a silent peer."""
        self._mark_closed()
        with contextlib.suppress(Exception):
            async with asyncio.timeout(_SEND_SECONDS):
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

    async def _ping_until_silent(self) -> None:
        loop = asyncio.get_running_loop()
        while self._is_open:
            await asyncio.sleep(PING_SECONDS)
            silence = loop.time() - self._last_heard
            if silence > SILENCE_SECONDS:
                logger.info("peer connection is silent, closing it")
                self._abort()
                return
            if silence < PING_SECONDS:
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
        callbacks = self._on_close
        self._on_close = []
        for callback in callbacks:
            callback(self)
