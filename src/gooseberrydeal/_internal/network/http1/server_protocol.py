"""Read and write on a connection to a server with bounded buffers."""

import asyncio
from typing import Final

from gooseberrydeal._internal.network.http1.request_writer import RequestWriter

# What one read takes. A caller that reads slowly costs the host this much besides its
# write buffer, while asyncio would read 256 KiB. All connections share the buffer: its
# content is handled before the next read.
_READ_BUFFER: Final = memoryview(bytearray(16_384))


class ServerProtocol(asyncio.BufferedProtocol):
    """Read into a shared buffer, and write long requests as the server reads."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._writer = RequestWriter()

    @property
    def is_first_request(self) -> bool:
        """Return whether no more than one request was sent on the connection."""
        return self._writer.count <= 1

    @property
    def is_open(self) -> bool:
        """Return whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read."""
        self.bytes_received(_READ_BUFFER[:nbytes])

    def bytes_received(self, data: memoryview) -> None:
        """Handle bytes, which are valid until this returns."""
        raise NotImplementedError

    def pause_writing(self) -> None:
        """Note that the server reads slowly."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Go on with the body of the request."""
        self._writer.resume()
