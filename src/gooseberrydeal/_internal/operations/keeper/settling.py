"""Wait until an engine has let go of an abandoned request."""

import asyncio
import contextlib
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError, ServerRefusedError
from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.network.interfaces.engine import Engine
from gooseberrydeal._internal.utils.clock import Clock

_POLL_SECONDS: Final = 0.1
_UNKNOWN_SECONDS: Final = 1.0


async def until_left(engine: Engine, request_id: RequestId, clock: Clock) -> None:
    """Cancel a request until the engine no longer runs it.

    An engine that does not know the request may not have read it yet, since the
    cancellation comes on another connection; so it is asked for a while.
    """
    unknown_since: float | None = None
    while True:
        running = await _cancelled(engine, request_id)
        now = clock.monotonic()
        if running is False:
            return
        if running is None:
            unknown_since = unknown_since or now
            if now - unknown_since >= _UNKNOWN_SECONDS:
                return
        else:
            unknown_since = None
        await asyncio.sleep(_POLL_SECONDS)


async def _cancelled(engine: Engine, request_id: RequestId) -> bool | None:
    """Cancel a request; return whether it still runs, ``None`` if unknown."""
    try:
        with contextlib.suppress(ServerRefusedError):
            await engine.cancel(request_id)
        return await engine.is_running(request_id)
    except ServerError:
        return True
