"""Know the open connections to peers."""

from collections.abc import Callable

from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.network.peer_listener import PeerListener


class Peers:
    """Find the connection to a host, whichever side opened it."""

    def __init__(self, dialer: PeerDialer, listener: PeerListener | None) -> None:
        self._dialer = dialer
        self._listener = listener

    @property
    def dialer(self) -> PeerDialer:
        """Return the owner of outgoing connections."""
        return self._dialer

    def connections(self) -> list[PeerConnection]:
        """Return all open connections whose peer has introduced itself."""
        accepted = self._listener.connections if self._listener is not None else []
        both = [*self._dialer.connections, *accepted]
        return [item for item in both if item.peer is not None]

    def with_role(self, role: str) -> list[PeerConnection]:
        """Return one open connection to each peer of a role."""
        found: dict[str, PeerConnection] = {}
        for connection in self.connections():
            peer = connection.peer
            if peer is not None and peer.role == role:
                key = f"{peer.host}/{peer.incarnation}"
                found.setdefault(key, connection)
        return list(found.values())

    def at_address(self, address: str) -> PeerConnection | None:
        """Return an open connection to the keeper that listens at an address."""
        return self._first(lambda c: c.peer is not None and c.peer.address == address)

    def _first(self, wanted: Callable[[PeerConnection], bool]) -> PeerConnection | None:
        for connection in self.with_role("keeper"):
            if wanted(connection):
                return connection
        return None
