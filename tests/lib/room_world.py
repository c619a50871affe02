"""Listen for callers on a host of a small budget, with a handler that echoes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.routing_configuration import CallerLimits
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.caller_listener import CallerListener
from gooseberrydeal._internal.network.http1.host_resources import HostResources
from gooseberrydeal._internal.network.http1.peer_fields import refusal_field
from gooseberrydeal._internal.network.http1.response_sink import ResponseEnd
from gooseberrydeal._internal.policy.host_memory.host_budget import HostBudget

MAX_BODY = 150_000
# More than the kernel holds for a connection.
LARGE_BYTES = 12_000_000
# What the listener for other hosts adds to its refusals.
REFUSAL_FIELD = refusal_field(RefusalReason.HOST_OVERLOADED)


class EchoHandler:
    """Answer each request with its body, those to ``/held`` once that is allowed.

    Those to ``/large`` get a large response.
    """

    is_draining = False

    def __init__(self, idle_timeout: float) -> None:
        self.limits = CallerLimits(body_bytes=MAX_BODY, idle_timeout=idle_timeout)
        self.may_answer = asyncio.Event()
        self.begun: list[bytes] = []

    async def handle(self, exchange: CallerExchange) -> None:
        """Answer one request."""
        self.begun.append(exchange.head.target)
        if exchange.head.target == b"/held":
            await self.may_answer.wait()
        is_large = exchange.head.target == b"/large"
        body = bytes(LARGE_BYTES) if is_large else bytes(exchange.body)
        exchange.respond(200, (), body)


class ResponseRecorder:
    """Tell when a response has ended."""

    def __init__(self) -> None:
        self.ended = asyncio.Event()

    def head_received(self, head: ResponseHead) -> None:
        pass

    def body_received(self, data: bytes) -> None:
        pass

    def response_ended(self, end: ResponseEnd) -> None:
        self.ended.set()


class RoomClient:
    """Send parts of requests and read whole responses on one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def send(self, target: str, length: int, sent: int | None = None) -> None:
        """Send a head, and the body or its first bytes."""
        head = f"POST {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n"
        self.send_body(length if sent is None else sent, head.encode())

    def send_body(self, length: int, head: bytes = b"") -> None:
        self._writer.write(head + b"x" * length)

    async def response(self) -> tuple[int, bytes, bytes]:
        """Return status, head and body; 0 if the connection is closed instead."""
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, b"", b""
        length = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
        return int(head.split()[1]), head, await self._reader.readexactly(length)

    async def read(self, length: int) -> int:
        """Return how many bytes could be read until the connection's end."""
        try:
            return len(await self._reader.readexactly(length))
        except asyncio.IncompleteReadError as error:
            return len(error.partial)
        except ConnectionError:
            return 0

    def close(self) -> None:
        self._writer.close()


class RoomWorld:
    """Hold a listener, its handler and the clients that are connected to it."""

    def __init__(
        self, budget: HostBudget, max_connections: float, idle_timeout: float
    ) -> None:
        self.handler = EchoHandler(idle_timeout)
        self.limits: list[str] = []
        self.resources = HostResources(budget, self.limits.append)
        self.listener = CallerListener(
            "127.0.0.1:0",
            self.handler,
            self.resources,
            max_connections,
            (REFUSAL_FIELD,),
        )
        self._clients: list[RoomClient] = []

    async def connect(self) -> RoomClient:
        host, port = self.listener.bound_address.rsplit(":", 1)
        client = RoomClient(*await asyncio.open_connection(host, int(port)))
        self._clients.append(client)
        return client

    def close(self) -> None:
        for client in self._clients:
            client.close()
        self.listener.abort()


@asynccontextmanager
async def room_world(
    budget: HostBudget | None = None,
    max_connections: float = float("inf"),
    idle_timeout: float = 15.0,
) -> AsyncIterator[RoomWorld]:
    """Listen with a budget, and close everything."""
    world = RoomWorld(budget or HostBudget(), max_connections, idle_timeout)
    await world.listener.start()
    try:
        yield world
    finally:
        world.close()
