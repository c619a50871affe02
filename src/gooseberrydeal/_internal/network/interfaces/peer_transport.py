"""Define the network interface between the system's own processes."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol


class PeerSocket(Protocol):
    """Exchange whole messages with a peer, in order.

    If the connection is lost, sending raises ``OSError`` and receiving ends.
    """

    async def send(self, data: bytes) -> None:
        """Send one message."""
        ...

    def receive(self) -> AsyncIterator[bytes]:
        """Yield messages until the connection is lost or closed."""
        ...

    async def close(self) -> None:
        """Close the connection with a closing handshake."""
        ...

    def abort(self) -> None:
        """Close the connection without waiting for the peer."""
        ...


class ListeningSocket(Protocol):
    """Accept connections until it is closed."""

    async def close(self) -> None:
        """Stop accepting connections and close the accepted ones."""
        ...


SocketHandler = Callable[[PeerSocket], Awaitable[None]]


class PeerTransport(Protocol):
    """Connect to peers and accept connections from them."""

    async def connect(self, address: str) -> PeerSocket:
        """Connect to ``IP:port``; raise ``OSError`` if that fails."""
        ...

    async def listen(self, address: str, on_socket: SocketHandler) -> ListeningSocket:
        """Accept connections on ``IP:port``; raise ``OSError`` if that fails."""
        ...
