"""Define client accounts and their quotas."""

from dataclasses import dataclass
from enum import Enum

from gooseberrydeal._internal.models.ids import AccountName


class QuotaUnit(Enum):
    """List what a quota counts: requests, or the tokens that they state."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class AccountQuota:
    """Limit an account over all hosts together.

    ``per_second`` and ``burst`` are in the quota's unit. A request that states no token
    counts is charged ``plain_tokens`` where the unit is tokens.
    """

    per_second: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0

    def size_of(self, prompt_tokens: int, output_tokens: int) -> float:
        """Return what a request counts, in the quota's unit."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(prompt_tokens + output_tokens or self.plain_tokens)


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """Describe an account; its ``rank`` replaces that of the route, if it has one."""

    name: AccountName
    rank: int | None = None
    quota: AccountQuota | None = None
