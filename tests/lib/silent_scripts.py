"""Script servers that fall silent in the middle of a response."""

import asyncio
from enum import Enum

from tests.lib.relay_scripts import request_id_line
from tests.lib.scripted_server import ReceivedRequest, Script

# A sound server may be silent for this long; it is over twice what the routes of the
# relay's tests wait before another server takes over.
SOUND_SILENCE_SECONDS = 1.0
FIRST_HALF = b"first half, "
SECOND_HALF = b"second half"


class Framing(Enum):
    """List the ways in which a response shows where it ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"

    @property
    def field(self) -> str:
        """Return the header line of the framing, with its line end."""
        if self is Framing.LENGTH:
            return f"Content-Length: {len(FIRST_HALF) + len(SECOND_HALF)}\r\n"
        return "Transfer-Encoding: chunked\r\n" if self is Framing.CHUNKS else ""

    def frame(self, data: bytes) -> bytes:
        """Return data as it is sent within a body."""
        return chunk(data) if self is Framing.CHUNKS else data


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: e%d\n\n" % (number, number)


def silent_within(
    framing: Framing,
    first: bytes = FIRST_HALF,
    silence_seconds: float = SOUND_SILENCE_SECONDS,
) -> Script:
    """Return a server that is silent after the first bytes of the body."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 200 OK\r\n{request_id_line(request)}\r\n{framing.field}\r\n"
        writer.write(head.encode() + (framing.frame(first) if first else b""))
        await writer.drain()
        await asyncio.sleep(silence_seconds)
        rest = (FIRST_HALF + SECOND_HALF)[len(first) :]
        writer.write(framing.frame(rest))
        if framing is Framing.CHUNKS:
            writer.write(chunk(b""))
        if framing is Framing.CLOSE:
            writer.close()

    return script


def silent_stream(
    silence_seconds: float = SOUND_SILENCE_SECONDS, *, before: int = 2, events: int = 5
) -> Script:
    """Return an engine whose streams pause after the event ``before``."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        begin = int(request.header("last-event-id") or 0) + 1
        writer.write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"{request_id_line(request)}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(begin, events + 1):
            writer.write(chunk(event(number)))
            if number == before:
                await writer.drain()
                await asyncio.sleep(silence_seconds)
        writer.write(chunk(b""))

    return script
