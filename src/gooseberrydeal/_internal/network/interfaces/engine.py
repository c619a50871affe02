"""Define the interface to a model engine."""

from collections.abc import AsyncIterator
from typing import Protocol

from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.models.engine_state import EngineState
from gooseberrydeal._internal.models.engine_tokens import EngineTokens
from gooseberrydeal._internal.models.ids import FencingNumber, RequestId


class Engine(Protocol):
    """Load adapters on an engine and generate text with them.

    All calls raise :class:`ServerUnreachableError` if nothing was sent,
    :class:`ServerRefusedError` if the engine rejected the call, and
    :class:`ServerBrokenError` if it is unknown whether the engine carried it out.
    """

    async def state(self) -> EngineState:
        """Return the loaded copies and the number of requests running on each."""
        ...

    async def load(self, copy: str, path: str, fencing: FencingNumber) -> None:
        """Load a copy of an adapter from the weight store."""
        ...

    async def unload(self, copy: str, fencing: FencingNumber) -> None:
        """Unload a copy of an adapter."""
        ...

    def generate(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """Stream generated text; closing the iterator cancels the request."""
        ...

    def resume(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """Resume an interrupted stream at the request's offset."""
        ...

    async def cancel(self, request_id: RequestId) -> None:
        """Cancel a generation whose stream was lost."""
        ...

    async def is_running(self, request_id: RequestId) -> bool | None:
        """Return whether a request is running, ``None`` if the engine has no record."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
