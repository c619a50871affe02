"""Read and write HTTP/1.1 messages for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

Headers = dict[str, str]


@dataclass
class Message:
    """Hold a request or a response; the names of the fields are in lower case."""

    start: str
    headers: Headers
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, ``None`` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    return Message(start, headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request, ``None`` at the end of the connection."""
    request = await read_head(reader)
    if request is not None:
        length = int(request.headers.get("content-length", "0"))
        try:
            request.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return request


async def read_body(
    reader: asyncio.StreamReader, head: Message
) -> tuple[bytes, bool]:
    """Return the body of a response and whether it is whole."""
    body = b""
    try:
        if head.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += chunk[:-2]
        length = int(head.headers.get("content-length", "0"))
        while len(body) < length:
            data = await reader.read(min(65_536, length - len(body)))
            if not data:
                return body, False
            body += data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False
    return body, True


def encode_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return an encoded response with a length."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Other"
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


async def listen(handler: ConnectionHandler, host: str, port: int = 0) -> str:
    """Serve connections; return the address as ``IP:port``."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, host, port, limit=1 << 20)
    _SERVERS.append(server)
    bound = server.sockets[0].getsockname()
    return f"{bound[0]}:{bound[1]}"


_SERVERS: list[asyncio.Server] = []
