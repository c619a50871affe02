"""Simulate an engine that only reports its state."""

from collections.abc import AsyncIterator

from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.models.engine_state import EngineState
from gooseberrydeal._internal.models.engine_tokens import EngineTokens
from gooseberrydeal._internal.models.ids import FencingNumber, RequestId


class IdleEngine:
    """Hold adapters without generating, so that only the control plane is measured."""

    def __init__(self) -> None:
        self._copies: dict[str, str] = {}

    async def state(self) -> EngineState:
        """Return the loaded copies and their paths."""
        return EngineState(dict(self._copies))

    async def load(self, copy: str, path: str, fencing: FencingNumber) -> None:
        """Record the copy as loaded, without delay."""
        self._copies[copy] = path

    async def unload(self, copy: str, fencing: FencingNumber) -> None:
        """Remove the copy, without delay."""
        self._copies.pop(copy, None)

    async def generate(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """Yield the end of the stream, without any text."""
        yield EngineTokens("", 0, "stop")

    async def resume(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """Yield the end of the stream, without any text."""
        yield EngineTokens("", 0, "stop")

    async def cancel(self, request_id: RequestId) -> None:
        """Do nothing: there is no request to cancel."""

    async def is_running(self, request_id: RequestId) -> bool | None:
        """Return False: no request ever runs."""
        return False

    async def close(self) -> None:
        """Do nothing: there is no connection to close."""
