"""Define what the request path gets when it asks whether a request may run."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.policy.quotas.account_share import AccountShare
from gooseberrydeal._internal.policy.quotas.token_balance import Spending


@dataclass(frozen=True, slots=True)
class QuotaCharge:
    """Hold the tokens that an admitted request has spent, if any."""

    share: AccountShare | None = None
    spending: Spending = ()

    def give_back(self) -> None:
        """Return the tokens of a request that did not run, if they are still valid."""
        if self.share is not None:
            self.share.give_back(self.spending)


@dataclass(frozen=True, slots=True)
class QuotaRefusal:
    """Hold why a request is refused; ``retry_after`` is in seconds."""

    reason: RefusalReason
    retry_after: float


# Requests of accounts without a quota spend nothing.
FREE_CHARGE = QuotaCharge()
