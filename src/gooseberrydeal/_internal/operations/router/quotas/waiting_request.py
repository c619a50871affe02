"""Hold the requests that wait for tokens."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from gooseberrydeal._internal.operations.router.quotas.quota_charge import (
    QuotaCharge,
    QuotaRefusal,
)
from gooseberrydeal._internal.policy.quotas.account_share import AccountShare


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """Hold a request of ``size`` tokens; ``sequence`` is that of what asked for them.

    It is 0 before they were asked for.
    """

    size: float
    decision: asyncio.Future[QuotaCharge | QuotaRefusal]
    sequence: int = 0


@dataclass(slots=True, eq=False)
class AccountQueue:
    """Hold the share of an account and its waiting requests, in order of arrival."""

    share: AccountShare
    waiting: deque[WaitingRequest] = field(default_factory=deque)

    def admit(self, now: float) -> int:
        """Admit waiting requests as far as there are tokens; return how many."""
        admitted = 0
        while self.waiting:
            spending = self.share.spend(self.waiting[0].size, now)
            if spending is None:
                break
            found = self.waiting.popleft()
            admitted += 1
            found.decision.set_result(QuotaCharge(self.share, spending))
        return admitted
