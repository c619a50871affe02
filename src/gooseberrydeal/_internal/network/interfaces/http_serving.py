"""Define what is needed of an HTTP server."""

from typing import Protocol


class HttpServing(Protocol):
    """Serve an application."""

    async def start(self) -> None:
        """Listen, or raise ``OSError``."""
        ...

    async def stop(self) -> None:
        """Stop accepting, and end after the requests in progress."""
        ...

    async def abort(self) -> None:
        """Cut all connections at once."""
        ...
