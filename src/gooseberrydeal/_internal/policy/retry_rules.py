"""Decide whether a refused request may be retried on another server."""

from typing import Final

from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.retry_reason import RetryReason

_RETRIES: Final = {
    RefusalReason.NOT_OWNER: RetryReason.NOT_OWNER,
    RefusalReason.OWNER_UNREACHABLE: RetryReason.OWNER_UNREACHABLE,
    RefusalReason.SERVER_LEAVING: RetryReason.SERVER_LEAVING,
    RefusalReason.SERVER_SLOW: RetryReason.SERVER_SLOW,
    RefusalReason.SERVER_FAILED: RetryReason.SERVER_FAILED,
    RefusalReason.STREAM_CUT: RetryReason.SERVER_FAILED,
    RefusalReason.OVERLOADED: RetryReason.OVERLOADED,
    RefusalReason.LOAD_FAILED: RetryReason.LOAD_FAILED,
    RefusalReason.SHUTTING_DOWN: RetryReason.SHUTTING_DOWN,
}


def retry_reason(
    refusal: Refusal, *, is_repeatable: bool, delivered: int
) -> RetryReason | None:
    """Return the reason to retry the request, or ``None`` if it must not be retried.

    Nothing is retried once part of the response was ``delivered`` to the caller, or for
    a reason that another server cannot resolve. Otherwise, a request that is known not
    to have run may be retried; one that may have run, only if it is repeatable.
    """
    reason = _RETRIES.get(refusal.reason)
    if reason is None or delivered > 0:
        return None
    if refusal.ran is Ran.NO:
        return reason
    if refusal.ran is Ran.UNKNOWN and is_repeatable:
        return reason
    return None
