"""Stand for an engine that only reports."""

from collections.abc import AsyncIterator

from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.models.engine_state import EngineState
from gooseberrydeal._internal.models.engine_tokens import EngineTokens
from gooseberrydeal._internal.models.ids import FencingNumber, RequestId


class IdleEngine:
    """Hold adapters and generate nothing, so that only control is measured."""

    def __init__(self) -> None:
        self._copies: dict[str, str] = {}

    async def state(self) -> EngineState:
        """Return the loaded copies."""
        return EngineState(dict(self._copies))

    async def load(self, copy: str, path: str, fencing: FencingNumber) -> None:
        """Load at once."""
        self._copies[copy] = path

    async def unload(self, copy: str, fencing: FencingNumber) -> None:
        """Unload at once."""
        self._copies.pop(copy, None)

    async def generate(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """End at once."""
        yield EngineTokens("", 0, "stop")

    async def resume(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """End at once."""
        yield EngineTokens("", 0, "stop")

    async def cancel(self, request_id: RequestId) -> None:
        """Do nothing."""

    async def is_running(self, request_id: RequestId) -> bool | None:
        """Return that nothing runs."""
        return False

    async def close(self) -> None:
        """Do nothing."""
