"""Receive an answer at the speed of a client's line."""

import asyncio
import socket
import time
from dataclasses import dataclass

from deployment import Record
from traffic import encode, next_id

_PIECE_BYTES = 16_384


@dataclass
class Received:
    """Hold what arrived of an answer."""

    status: int
    body_bytes: int
    is_whole: bool


def _line_socket(buffer_bytes: int) -> socket.socket:
    """Return a socket with the segment size of Ethernet and a receive buffer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setblocking(False)
    return sock


async def receive(
    address: str,
    route: str,
    expected: bytes,
    bytes_per_second: float,
    buffer_bytes: int,
    record: Record,
) -> Received:
    """Send a request and read its answer at a steady pace."""
    loop = asyncio.get_running_loop()
    host, _, port = address.partition(":")
    request_id = next_id()
    data = bytearray()
    total = None
    ended_by = "the router"
    with _line_socket(buffer_bytes) as sock:
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, encode(request_id, route))
        record.write("sent", {"id": request_id})
        began_at = time.monotonic()
        while total is None or len(data) < total:
            try:
                piece = await loop.sock_recv(sock, _PIECE_BYTES)
            except OSError as error:
                ended_by = repr(error)
                break
            if not piece:
                break
            data += piece
            head_end = data.find(b"\r\n\r\n", 0, 4_096)
            if total is None and head_end >= 0:
                total = head_end + 4 + len(expected)
            due = began_at + len(data) / bytes_per_second
            await asyncio.sleep(max(0.0, due - time.monotonic()))
    body = bytes(data).partition(b"\r\n\r\n")[2]
    status = int(data[:64].split(b" ")[1]) if data else 0
    is_whole = body == expected
    record.write(
        "answer",
        {
            "id": request_id,
            "status": status,
            "body bytes": len(body),
            "of": len(expected),
            "ended by": "the length" if is_whole else ended_by,
        },
    )
    return Received(status, len(body), is_whole)
