"""Decide whether a refused request may be tried elsewhere."""

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
    """Return why the request may be run anew, or ``None`` if it may not.

    Work that was proven not to have run may always be tried again. Work that may
    have run is tried again only if it is repeatable and the caller has nothing of
    its answer yet.
    """
    reason = _RETRIES.get(refusal.reason)
    if reason is None or delivered > 0:
        return None
    if refusal.ran is Ran.NO:
        return reason
    if refusal.ran is Ran.UNKNOWN and is_repeatable:
        return reason
    return None
