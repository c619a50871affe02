"""Define the interface to a backend server of a plain service."""

from typing import Protocol

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.plain_answer import PlainAnswer


class PlainServer(Protocol):
    """Call the operations of a plain service, which is one without an engine.

    Failed calls raise the same errors as those of :class:`Engine`.
    """

    async def call(
        self,
        operation: str,
        request_id: RequestId,
        content_type: str,
        body: bytes,
        *,
        repeatable: bool,
    ) -> PlainAnswer:
        """Send a request once, without retries, and return the response."""
        ...

    async def ready(self) -> bool:
        """Return whether the server passes its health check."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
