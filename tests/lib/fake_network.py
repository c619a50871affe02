"""Simulate the connections between peers in memory."""

import asyncio
from collections.abc import AsyncIterator

from gooseberrydeal._internal.network.interfaces.peer_transport import SocketHandler

_LATENCY_SECONDS = 0.0005


class FakeNetwork:
    """Connect addresses; messages between a cut pair are dropped without an error."""

    def __init__(self) -> None:
        self.listeners: dict[str, SocketHandler] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.paused_addresses: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def is_connected(self, own_address: str, peer_address: str) -> bool:
        is_paused = (
            own_address in self.paused_addresses
            or peer_address in self.paused_addresses
        )
        return (
            frozenset({own_address, peer_address}) not in self.cut_pairs
            and not is_paused
        )

    def transport(self, address: str) -> "FakeTransport":
        return FakeTransport(self, address)


class FakeSocket:
    """Simulate one end of a connection."""

    def __init__(
        self, network: FakeNetwork, own_address: str, peer_address: str
    ) -> None:
        self.network = network
        self.own_address = own_address
        self.peer_address = peer_address
        self.received: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.far_end: FakeSocket | None = None
        self.is_closed = False

    async def send(self, data: bytes) -> None:
        if self.is_closed:
            raise ConnectionResetError("closed")
        await asyncio.sleep(_LATENCY_SECONDS)
        if self.far_end is not None and self.network.is_connected(
            self.own_address, self.peer_address
        ):
            self.far_end.received.put_nowait(data)

    async def receive(self) -> AsyncIterator[bytes]:
        while True:
            data = await self.received.get()
            if data is None:
                return
            yield data

    async def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.received.put_nowait(None)
        if self.far_end is not None and self.network.is_connected(
            self.own_address, self.peer_address
        ):
            self.far_end.is_closed = True
            self.far_end.received.put_nowait(None)


class FakeTransport:
    """Open connections and listen at the address of one host."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self.network = network
        self.address = address

    async def connect(self, address: str) -> FakeSocket:
        await asyncio.sleep(_LATENCY_SECONDS)
        if not self.network.is_connected(self.address, address):
            # Packets are dropped: the attempt neither succeeds nor fails for an hour.
            await asyncio.sleep(3600)
        on_socket = self.network.listeners.get(address)
        if on_socket is None:
            raise ConnectionRefusedError(address)
        near_end = FakeSocket(self.network, self.address, address)
        far_end = FakeSocket(self.network, address, self.address)
        near_end.far_end, far_end.far_end = far_end, near_end
        task = asyncio.ensure_future(on_socket(far_end))
        self.network.tasks.add(task)
        task.add_done_callback(self.network.tasks.discard)
        return near_end

    async def listen(self, address: str, on_socket: SocketHandler) -> "FakeListener":
        self.network.listeners[address] = on_socket
        return FakeListener(self.network, address)


class FakeListener:
    """Hold a listening address until closed."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self.network = network
        self.address = address

    async def close(self) -> None:
        self.network.listeners.pop(self.address, None)
