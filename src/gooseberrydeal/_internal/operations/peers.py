"""Look up open connections to peers."""

from collections.abc import Callable

from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.network.peer_listener import PeerListener


class Peers:
    """Look up connections to peers, both dialed and accepted ones."""

    def __init__(self, dialer: PeerDialer, listener: PeerListener | None) -> None:
        self._dialer = dialer
        self._listener = listener

    @property
    def dialer(self) -> PeerDialer:
        """Return the dialer, which owns the outgoing connections."""
        return self._dialer

    def connections(self) -> list[PeerConnection]:
        """Return all open connections on which the peer's ``Hello`` was received."""
        accepted = self._listener.connections if self._listener is not None else []
        all_connections = [*self._dialer.connections, *accepted]
        return [item for item in all_connections if item.peer is not None]

    def with_role(self, role: str) -> list[PeerConnection]:
        """Return one open connection to each peer process with the given role."""
        by_process: dict[str, PeerConnection] = {}
        for connection in self.connections():
            peer = connection.peer
            if peer is not None and peer.role == role:
                key = f"{peer.host}/{peer.incarnation}"
                by_process.setdefault(key, connection)
        return list(by_process.values())

    def at_address(self, address: str) -> PeerConnection | None:
        """Return an open connection to the keeper that listens at an ``IP:port``."""
        return self._first_keeper(
            lambda c: c.peer is not None and c.peer.address == address
        )

    def _first_keeper(
        self, matches: Callable[[PeerConnection], bool]
    ) -> PeerConnection | None:
        for connection in self.with_role("keeper"):
            if matches(connection):
                return connection
        return None
