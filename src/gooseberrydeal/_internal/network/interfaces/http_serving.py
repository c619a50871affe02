"""Define the interface to an HTTP server."""

from typing import Protocol


class HttpServing(Protocol):
    """Serve an application over HTTP."""

    async def start(self) -> None:
        """Start listening; raise ``OSError`` if the address is not available."""
        ...

    async def stop(self) -> None:
        """Stop accepting connections and wait for the requests in progress."""
        ...

    async def abort(self) -> None:
        """Close all connections immediately."""
        ...
