"""Tell for how long a client has not taken anything of its response."""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable
from typing import Final

_INTEGER: Final = struct.Struct("i")


class UnsentWatch:
    """Write, and compare what was written with what process and kernel still hold."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._written = 0
        self._taken = -1
        self._taken_at = 0.0
        self._limit: int | None = None

    def write(self, transport: asyncio.Transport, data: bytes, limit: int) -> None:
        """Write bytes; backpressure begins when more than ``limit`` are unsent."""
        if limit != self._limit:
            self._limit = limit
            transport.set_write_buffer_limits(high=limit)
        self._written += len(data)
        transport.write(data)

    def unread_seconds(self, transport: asyncio.Transport) -> float:
        """Return for how long the client took nothing, zero if nothing is unsent.

        That counts from the first call at which something was unsent.
        """
        unsent = transport.get_write_buffer_size()
        if not unsent:
            self._taken = -1
            return 0.0
        taken = self._written - unsent - _kernel_bytes(transport)
        if self._taken < taken:
            self._taken, self._taken_at = taken, self._clock()
        return self._clock() - self._taken_at


def _kernel_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the kernel holds that the peer has not acknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INTEGER.size))
    return int(_INTEGER.unpack(data)[0])
