"""Let many clients send at once what a host must withstand."""

import asyncio
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from types import TracebackType
from typing import Final

MAX_BODY: Final = 4_194_304
_PIECE: Final = b"x" * 65_536
_DECLARED_BYTES: Final = 1_000_000_000


@dataclass(frozen=True, slots=True)
class ClientScript:
    """Hold what each client of a crowd sends before it falls silent.

    ``pause`` is the time between two pieces, in seconds.
    """

    pieces: tuple[bytes, ...] = ()
    pause: float = 0.0


def head(path: str, *fields: str) -> bytes:
    """Return the head of a request."""
    lines = [f"POST /once/{path} HTTP/1.1", "Host: desk.example", "X-Request-Id: c"]
    return "\r\n".join([*lines, *fields]).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def chunked(size: int, *fields: str) -> ClientScript:
    """Return a script of a body in large chunks that lacks its end."""
    begin = head("a", "Transfer-Encoding: chunked", *fields)
    count, rest = divmod(size, len(_PIECE))
    return ClientScript((begin, *[chunk(_PIECE)] * count, chunk(_PIECE[:rest] or b"x")))


def small_chunks(count: int) -> ClientScript:
    """Return a script of a body in chunks of two bytes that lacks its end."""
    begin = head("a", "Transfer-Encoding: chunked")
    return ClientScript((begin, *[chunk(b"xx") * 1_000] * (count // 1_000)))


def whole_body(path: str) -> ClientScript:
    """Return a script of a whole request with the largest body that is allowed."""
    pieces = [_PIECE] * (MAX_BODY // len(_PIECE))
    return ClientScript((head(path, f"Content-Length: {MAX_BODY}"), *pieces))


def pipelined_bodies() -> ClientScript:
    """Return a script of several of the largest bodies behind a slow request."""
    return ClientScript(whole_body("hold").pieces * 5)


def slow_end() -> ClientScript:
    """Return a script of a large body whose last bytes come one per second."""
    begin = head("a", f"Content-Length: {MAX_BODY}")
    first = begin + b"x" * (MAX_BODY - 64)
    return ClientScript((first, *[b"x"] * 63), pause=1.0)


def huge_declared() -> ClientScript:
    """Return a script that declares 1 GB."""
    begin = head("a", f"Content-Length: {_DECLARED_BYTES}")
    return ClientScript((begin, *[_PIECE] * 64))


def endless_head() -> ClientScript:
    begin = head("a").removesuffix(b"\r\n")
    return ClientScript((begin, *[b"X-Field: " + _PIECE] * 16))


def slow_head() -> ClientScript:
    """Return a script of a head of one byte per second."""
    return ClientScript(tuple(bytes([byte]) for byte in head("a")), pause=1.0)


def pipelined() -> ClientScript:
    """Return a script of thousands of requests without waiting for the first."""
    return ClientScript((head("hold") * 100,) * 40)


class ClientCrowd:
    """Open connections to some addresses, and keep them open after the script."""

    def __init__(
        self, count: int, addresses: Iterable[str], *scripts: ClientScript
    ) -> None:
        self._plans = [
            (address, scripts[number % len(scripts)])
            for address in addresses
            for number in range(count)
        ]
        self._tasks: list[asyncio.Task[None]] = []
        self._sockets: list[socket.socket] = []

    async def __aenter__(self) -> "ClientCrowd":
        self._tasks = [asyncio.create_task(self._send(*plan)) for plan in self._plans]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def sent(self, seconds: float) -> None:
        """Wait until everything is sent or refused, for a time at most."""
        await asyncio.wait(self._tasks, timeout=seconds)

    async def _send(self, address: str, script: ClientScript) -> None:
        loop = asyncio.get_running_loop()
        host, port = address.rsplit(":", 1)
        sock = socket.socket()
        sock.setblocking(False)
        # Responses that are not read fill little room in the kernel.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        self._sockets.append(sock)
        try:
            await loop.sock_connect(sock, (host, int(port)))
            for piece in script.pieces:
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(script.pause)
        except OSError:
            # The host may refuse or close the connection at any time.
            return
