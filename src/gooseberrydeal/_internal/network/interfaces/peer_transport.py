"""Define what is needed of the network between the system's own processes."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol


class PeerSocket(Protocol):
    """Carry whole messages in order in both directions.

    Sending on a lost socket raises ``OSError``; receiving from it ends.
    """

    async def send(self, data: bytes) -> None:
        """Send one message."""
        ...

    def receive(self) -> AsyncIterator[bytes]:
        """Yield messages until the socket is lost or closed."""
        ...

    async def close(self) -> None:
        """Close in an orderly way."""
        ...

    def abort(self) -> None:
        """Close without waiting for the other side."""
        ...


class PeerListening(Protocol):
    """Accept sockets until it is closed."""

    async def close(self) -> None:
        """Stop accepting, and close what was accepted."""
        ...


OnSocket = Callable[[PeerSocket], Awaitable[None]]


class PeerTransport(Protocol):
    """Connect to and accept from peers."""

    async def connect(self, address: str) -> PeerSocket:
        """Connect to ``IP:port``, or raise ``OSError``."""
        ...

    async def listen(self, address: str, on_socket: OnSocket) -> PeerListening:
        """Accept sockets on ``IP:port``, or raise ``OSError``."""
        ...
