"""Define what is needed of a plain service's server."""

from typing import Protocol

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.plain_answer import PlainAnswer


class PlainServer(Protocol):
    """Call an operation of a plain service; errors as for :class:`Engine`."""

    async def call(
        self,
        operation: str,
        request_id: RequestId,
        content_type: str,
        body: bytes,
        *,
        repeatable: bool,
    ) -> PlainAnswer:
        """Send a request once and return its answer."""
        ...

    async def ready(self) -> bool:
        """Return whether the server answers its health check."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
