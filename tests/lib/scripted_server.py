"""Answer HTTP/1.1 requests with bytes chosen by a test."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class ReceivedRequest:
    """Hold a request as it came over the wire."""

    head: bytes
    body: bytes

    def header(self, name: str) -> str | None:
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.decode().partition(":")
            if key.lower() == name.lower():
                return value.strip()
        return None


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class ScriptedServer:
    """Own a listening socket; each request is handed to the script."""

    script: Script
    requests: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    closed: int = 0
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self) -> "ScriptedServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = ReceivedRequest(head[:-4], b"")
                length = request.header("content-length")
                if length:
                    request.body = await reader.readexactly(int(length))
                self.requests.append(request)
                await self.script(request, writer)
                if writer.is_closing():
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed += 1
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset instead of an orderly end."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def response(
    body: bytes = b"ok", status: str = "200 OK", *headers: str, framed: bool = True
) -> bytes:
    """Return a whole response."""
    lines = [f"HTTP/1.1 {status}", *headers]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
