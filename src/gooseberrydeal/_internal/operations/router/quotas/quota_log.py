"""Log the refusals for quotas, a bounded number of lines."""

import logging
import math
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName, HostId, RequestId
from gooseberrydeal._internal.operations.router.quotas.quota_charge import QuotaRefusal

logger = logging.getLogger(__name__)

# An account far beyond its limit is refused hundreds of times a second.
_INTERVAL_SECONDS: Final = 1.0


class QuotaLog:
    """Log one refusal per account and second, with the number since the last line."""

    def __init__(self) -> None:
        self._last: dict[AccountName, tuple[float, int]] = {}

    def refused(
        self,
        account: AccountName,
        request_id: RequestId,
        refusal: QuotaRefusal,
        now: float,
    ) -> None:
        """Log the refusal of a request, unless one was logged just before."""
        logged_at, count = self._last.get(account, (-math.inf, 0))
        if now - logged_at < _INTERVAL_SECONDS:
            self._last[account] = (logged_at, count + 1)
            return
        self._last[account] = (now, 0)
        logger.info(
            "request refused for the quota of account %s, retry after %.2f s,"
            " %d more since the last such line",
            account,
            refusal.retry_after,
            count,
            extra={"request_id": request_id, "reason": refusal.reason.value},
        )

    def silent(self, account: AccountName, allocator: HostId) -> None:
        """Log that a host has not answered; it is not waited for for a time then."""
        logger.info(
            "host %s has not granted tokens of account %s in time; using the reserve",
            allocator,
            account,
        )

    def forget(self, account: AccountName) -> None:
        """Remove an account that sends no requests any more."""
        self._last.pop(account, None)
