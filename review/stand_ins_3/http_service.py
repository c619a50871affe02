"""Serve HTTP/1.1 with bodies of a stated length on loopback addresses."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

REASONS = {
    200: "OK",
    202: "Accepted",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclass
class Request:
    """Hold one request, and the connection that it came on."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    # Keeps what a handler wants to know of the connection, such as a count.
    connection: dict[str, object]

    def json(self) -> dict[str, object]:
        return json.loads(self.body) if self.body else {}


@dataclass
class Response:
    """Hold a response; a closed one ends the connection without a response."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    is_closed: bool = False
    is_written: bool = False


Handler = Callable[[Request], Awaitable[Response]]


def json_response(status: int, data: object, *headers: tuple[str, str]) -> Response:
    """Return a response with a JSON body."""
    fields = (("Content-Type", "application/json"), *headers)
    return Response(status, json.dumps(data).encode(), fields)


def encode_head(status: int, headers: tuple[tuple[str, str], ...]) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: dict
) -> Request | None:
    """Return the next request of a connection, ``None`` at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in rest:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    parts = urlsplit(target)
    query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
    return Request(
        method, parts.path, query, headers, body, reader, writer, connection
    )


class HttpService:
    """Pass each request of each connection to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        self._servers.append(
            await asyncio.start_server(self._serve, ip, port, limit=16 * 2**20)
        )

    def reset_connections(self) -> None:
        """End all open connections with a reset."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        for server in self._servers:
            server.close()
        self._servers.clear()
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        connection: dict[str, object] = {}
        try:
            while True:
                request = await read_request(reader, writer, connection)
                if request is None:
                    return
                response = await self._handler(request)
                if response.is_closed:
                    writer.transport.abort()
                    return
                if response.is_written:
                    continue
                fields = (*response.headers, ("Content-Length", str(len(response.body))))
                writer.write(encode_head(response.status, fields) + response.body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()
