"""Answer requests whose handling fails."""

import logging
from collections.abc import Awaitable

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.operations.router.failed_reply import (
    RETRY_AFTER_SECONDS,
)
from gooseberrydeal._internal.operations.router.refusals import refuse

logger = logging.getLogger(__name__)


async def answer_errors(handling: Awaitable[None], exchange: CallerExchange) -> None:
    """Handle a request, and refuse it if that fails before it is sent to a server.

    A ``RequestRun`` answers its own errors, so nothing was sent if another part fails
    and the reply has not begun.
    """
    try:
        await handling
    except Exception:
        logger.exception("handling of a request failed")
        refuse(exchange, RefusalReason.INTERNAL_ERROR, RETRY_AFTER_SECONDS)
