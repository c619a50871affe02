"""Write requests to one connection to a server."""

import asyncio
from typing import Final

from gooseberrydeal._internal.network.http1.acknowledgement_watch import (
    AcknowledgementWatch,
)

# A server that reads slowly may have no room for more than this for some time.
_MAX_UNWATCHED_BYTES: Final = 16_384
# The transport copies what it can't send at once, so long bodies are passed to it in
# pieces as the server reads.
_PIECE_BYTES: Final = 65_536


class RequestWriter:
    """Count requests, and watch the connection once a large one was sent on it.

    Until then the kernel's timeout ends the connection if the server is gone. It would
    do so, too, while a server reads a large request slowly.
    """

    def __init__(self) -> None:
        self._count = 0
        self._watch: AcknowledgementWatch | None = None
        self._transport: asyncio.Transport | None = None
        self._rest = memoryview(b"")
        self._is_paused = False

    @property
    def count(self) -> int:
        """Return how many requests were written."""
        return self._count

    @property
    def is_done(self) -> bool:
        """Return whether no part of a request is left to be written."""
        return not self._rest

    def write(
        self, transport: asyncio.Transport, head: bytes, body: bytes | bytearray
    ) -> None:
        """Write an encoded head and a body; a long body follows as the server reads."""
        self._count += 1
        self._transport = transport
        size = len(head) + len(body)
        if self._watch is None and size > _MAX_UNWATCHED_BYTES:
            self._watch = AcknowledgementWatch()
            self._watch.begin(transport)
        if len(body) <= _PIECE_BYTES:
            transport.write(head + body)
        else:
            self._rest = memoryview(body)
            transport.write(head)
            self._write_rest()
        if self._watch is not None:
            self._watch.data_sent(transport)

    def pause(self) -> None:
        """Write nothing more until the transport has room."""
        self._is_paused = True

    def resume(self) -> None:
        """Go on with the body."""
        self._is_paused = False
        self._write_rest()

    def drop(self) -> None:
        """Release what is left of the body."""
        self._rest = memoryview(b"")

    def _write_rest(self) -> None:
        transport = self._transport
        if transport is None or not self._rest:
            return
        while self._rest and not self._is_paused and not transport.is_closing():
            piece, self._rest = self._rest[:_PIECE_BYTES], self._rest[_PIECE_BYTES:]
            transport.write(piece)
        if not self._rest:
            # An empty view would keep the whole body.
            self.drop()
        if self._watch is not None:
            self._watch.data_sent(transport)
