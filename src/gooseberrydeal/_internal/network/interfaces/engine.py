"""Define what is needed of a model engine."""

from collections.abc import AsyncIterator
from typing import Protocol

from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.models.engine_state import EngineState
from gooseberrydeal._internal.models.engine_tokens import EngineTokens
from gooseberrydeal._internal.models.ids import FencingNumber, RequestId


class Engine(Protocol):
    """Load adapters on an engine and generate with them.

    All calls raise :class:`ServerUnreachableError` when nothing was sent,
    :class:`ServerRefusedError` when the engine did not do it, and
    :class:`ServerBrokenError` when that is not known.
    """

    async def state(self) -> EngineState:
        """Return the loaded copies and what runs on them."""
        ...

    async def load(self, copy: str, path: str, fencing: FencingNumber) -> None:
        """Load a copy of an adapter from the weight store."""
        ...

    async def unload(self, copy: str, fencing: FencingNumber) -> None:
        """Unload a copy of an adapter."""
        ...

    def generate(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """Generate; closing the iterator cancels the request."""
        ...

    def resume(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """Continue a cut stream at the request's offset."""
        ...

    async def cancel(self, request_id: RequestId) -> None:
        """Stop a generation whose stream is lost."""
        ...

    async def is_running(self, request_id: RequestId) -> bool | None:
        """Return whether a request is in the batch, ``None`` if it is not known."""
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
