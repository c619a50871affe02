"""Carry peers' messages in memory."""

import asyncio
from collections.abc import AsyncIterator

from gooseberrydeal._internal.network.interfaces.peer_transport import SocketHandler

_DELAY_SECONDS = 0.0005


class FakeNetwork:
    """Connect addresses; a cut pair goes silent without closing."""

    def __init__(self) -> None:
        self.listeners: dict[str, SocketHandler] = {}
        self.cut: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def can_pass(self, one: str, other: str) -> bool:
        is_paused = one in self.paused or other in self.paused
        return frozenset({one, other}) not in self.cut and not is_paused

    def transport(self, address: str) -> "FakeTransport":
        return FakeTransport(self, address)


class FakeSocket:
    """Be one end of a connection."""

    def __init__(self, network: FakeNetwork, own: str, other: str) -> None:
        self.network = network
        self.own = own
        self.other = other
        self.queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.far: FakeSocket | None = None
        self.is_closed = False

    async def send(self, data: bytes) -> None:
        if self.is_closed:
            raise ConnectionResetError("closed")
        await asyncio.sleep(_DELAY_SECONDS)
        if self.far is not None and self.network.can_pass(self.own, self.other):
            self.far.queue.put_nowait(data)

    async def receive(self) -> AsyncIterator[bytes]:
        while True:
            data = await self.queue.get()
            if data is None:
                return
            yield data

    async def close(self) -> None:
        self.abort()

    def abort(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.queue.put_nowait(None)
        if self.far is not None and self.network.can_pass(self.own, self.other):
            self.far.is_closed = True
            self.far.queue.put_nowait(None)


class FakeTransport:
    """Connect and listen as one host."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self.network = network
        self.address = address

    async def connect(self, address: str) -> FakeSocket:
        await asyncio.sleep(_DELAY_SECONDS)
        if not self.network.can_pass(self.address, address):
            await asyncio.sleep(3600)
        on_socket = self.network.listeners.get(address)
        if on_socket is None:
            raise ConnectionRefusedError(address)
        near = FakeSocket(self.network, self.address, address)
        far = FakeSocket(self.network, address, self.address)
        near.far, far.far = far, near
        task = asyncio.ensure_future(on_socket(far))
        self.network.tasks.add(task)
        task.add_done_callback(self.network.tasks.discard)
        return near

    async def listen(self, address: str, on_socket: SocketHandler) -> "FakeListening":
        self.network.listeners[address] = on_socket
        return FakeListening(self.network, address)


class FakeListening:
    """Stop listening."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        self.network = network
        self.address = address

    async def close(self) -> None:
        self.network.listeners.pop(self.address, None)
