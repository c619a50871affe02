"""Call hosts like a caller that reads slowly."""

import asyncio
import socket
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadingPace:
    """Hold how much a caller reads at once, and how long it pauses after that.

    ``pause_once`` is a pause after the first piece, in seconds.
    """

    piece_bytes: int = 20_000
    pause_seconds: float = 0.0
    pause_once: float = 0.0


async def read_slowly(
    address: tuple[str, int],
    request: bytes,
    pace: ReadingPace,
    receive_buffer: int = 32_768,
) -> bytes:
    """Send a request, and return all that comes until the connection ends."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        # Small windows, as on the users' links.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_448)
        await loop.sock_connect(sock, address)
        await loop.sock_sendall(sock, request)
        data = b""
        pause = pace.pause_once
        try:
            while piece := await loop.sock_recv(sock, pace.piece_bytes):
                data += piece
                await asyncio.sleep(pause or pace.pause_seconds)
                pause = 0.0
        except ConnectionError:
            pass
        return data
