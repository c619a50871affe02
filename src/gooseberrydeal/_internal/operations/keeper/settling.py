"""Cancel an abandoned request and wait until its engine has stopped running it."""

import asyncio
import contextlib
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError, ServerRefusedError
from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.network.interfaces.engine import Engine
from gooseberrydeal._internal.utils.clock import Clock

_POLL_INTERVAL_SECONDS: Final = 0.1
_UNKNOWN_REQUEST_TIMEOUT_SECONDS: Final = 1.0


async def cancel_until_ended(
    engine: Engine, request_id: RequestId, clock: Clock
) -> None:
    """Repeatedly cancel a request until the engine no longer runs it.

    The cancellation uses another connection than the request and can overtake it. An
    engine without a record of the request is therefore polled for a while.
    """
    unknown_since: float | None = None
    while True:
        running = await _cancel_and_check(engine, request_id)
        now = clock.monotonic()
        if running is False:
            return
        if running is None:
            unknown_since = unknown_since or now
            if now - unknown_since >= _UNKNOWN_REQUEST_TIMEOUT_SECONDS:
                return
        else:
            unknown_since = None
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)


async def _cancel_and_check(engine: Engine, request_id: RequestId) -> bool | None:
    """Cancel a request; return whether it is running, ``None`` if unknown."""
    try:
        with contextlib.suppress(ServerRefusedError):
            await engine.cancel(request_id)
        return await engine.is_running(request_id)
    except ServerError:
        return True
