"""Write requests to one connection to a server."""

import asyncio
from typing import Final

from gooseberrydeal._internal.network.http1.acknowledgement_watch import (
    AcknowledgementWatch,
)

# A server that reads slowly may have no room for more than this for some time.
_MAX_UNWATCHED_BYTES: Final = 16_384


class RequestWriter:
    """Count requests, and watch the connection once a large one was sent on it.

    Until then the kernel's timeout ends the connection if the server is gone. It would
    do so, too, while a server reads a large request slowly.
    """

    def __init__(self) -> None:
        self._count = 0
        self._watch: AcknowledgementWatch | None = None

    @property
    def count(self) -> int:
        """Return how many requests were written."""
        return self._count

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        """Write an encoded request."""
        self._count += 1
        transport.write(data)
        if self._watch is None and len(data) > _MAX_UNWATCHED_BYTES:
            self._watch = AcknowledgementWatch()
            self._watch.begin(transport)
        if self._watch is not None:
            self._watch.data_sent(transport)
