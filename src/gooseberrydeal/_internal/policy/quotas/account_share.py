"""Decide what one host does for the requests of one account."""

import math
from collections.abc import Sequence
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName
from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaOffer,
    QuotaWant,
)
from gooseberrydeal._internal.policy.quotas.expected_use import ExpectedUse
from gooseberrydeal._internal.policy.quotas.quota_terms import QuotaTerms
from gooseberrydeal._internal.policy.quotas.reserve_ledger import ReserveLedger
from gooseberrydeal._internal.policy.quotas.token_balance import (
    Spending,
    TokenBalance,
)

# A host asks for this multiple of what it expects to use within a grant's lifetime, and
# when less than this part of it is left, so that even uneven use asks about once in it.
_AHEAD_FACTOR: Final = 2.0
_ASK_BELOW: Final = 0.25
# Tokens that expire within this part of a lifetime no longer count as left.
_RENEWED_FRACTION: Final = 0.1
# A host asks ahead of demand at most this often within a lifetime. Near the limit, a
# grant covers a part of the lifetime only.
_MAX_ASKS_PER_LIFETIME: Final = 8.0
# After the allocator said that an account is beyond its limit, a host asks no sooner
# than this, so that overload costs ten requests a second and host.
_DENIED_SECONDS: Final = 0.1
# Callers that were refused in the last second are expected back before new ones.
_REFUSALS_SECONDS: Final = 1.0
_MAX_RETRY_AFTER_SECONDS: Final = 5.0


class AccountShare:
    """Hold the tokens, the expected use and the last refusal of one account.

    ``version`` is that of the configuration in which the account's quota last changed.
    Grants that were made under an earlier one do not count.
    """

    def __init__(self, account: AccountName, terms: QuotaTerms, version: int) -> None:
        self._account = account
        self._terms = terms
        self._version = version
        self._balance = TokenBalance()
        self._use = ExpectedUse()
        self._reserve = ReserveLedger()
        self._denied_until = -math.inf
        self._refused = 0.0
        self._refused_at = -math.inf
        self._asked_at = -math.inf
        self._has_arrivals = False

    @property
    def account(self) -> AccountName:
        """Return the account's name."""
        return self._account

    @property
    def terms(self) -> QuotaTerms:
        """Return how the account's tokens are granted."""
        return self._terms

    def set_terms(self, terms: QuotaTerms, version: int) -> None:
        """Apply a changed quota; tokens granted under the earlier one are void."""
        if terms != self._terms:
            self._terms = terms
            self._version = version
            self._balance.discard()
            self._denied_until = -math.inf

    def is_idle(self, now: float) -> bool:
        """Return whether a new share would decide the same."""
        seconds = max(self._terms.window, self._terms.lifetime) + _DENIED_SECONDS
        return not self._use.is_active(now - seconds)

    def note_arrival(self, size: float, now: float) -> None:
        """Count a request's size toward the expected use."""
        self._use.note(size, now)
        self._has_arrivals = True

    def spend(self, size: float, now: float) -> Spending | None:
        """Take granted tokens for a request; return ``None`` if there are too few."""
        return self._balance.spend(size, now)

    def give_back(self, spending: Spending) -> None:
        """Return the tokens of a request that did not run."""
        self._balance.give_back(spending)

    def spend_reserve(self, size: float, hosts: int | None, now: float) -> bool:
        """Take tokens for a request from this host's reserve, if they are there."""
        reserve = self._terms.reserve(hosts)
        return self._reserve.spend(size, reserve, self._terms.window, now)

    def is_denied(self, now: float) -> bool:
        """Return whether the allocator said just now that the limit is reached."""
        return now < self._denied_until

    def retry_after(self, size: float, now: float) -> float:
        """Return when a refused request will be within the quota, in seconds from now.

        Requests that were refused shortly before it come first.
        """
        kept = max(0.0, 1.0 - (now - self._refused_at) / _REFUSALS_SECONDS)
        before = self._refused * kept
        self._refused, self._refused_at = before + size, now
        seconds = max(0.0, self._denied_until - now) + before / self._terms.rate
        return min(_MAX_RETRY_AFTER_SECONDS, seconds)

    def want(self, waiting: Sequence[float], now: float) -> QuotaWant | None:
        """Return what to ask the allocator for, ``None`` if nothing is needed now.

        ``waiting`` are the sizes of requests that wait for tokens.
        """
        terms = self._terms
        target = 0.0
        if not terms.is_individual and self._use.is_active(now):
            expected = self._use.rate(now) * terms.lifetime
            target = expected * _AHEAD_FACTOR + self._use.size
        left = self._balance.available(now + terms.lifetime * _RENEWED_FRACTION)
        is_due = (
            left < target * _ASK_BELOW
            and now >= self._asked_at + self._ask_interval(now)
        )
        if not waiting and (not is_due or self.is_denied(now)):
            return None
        self._asked_at = now
        self._has_arrivals = False
        return QuotaWant(
            self._account,
            sum(waiting),
            max(0.0, target - left),
            min(waiting, default=self._use.size),
        )

    def _ask_interval(self, now: float) -> float:
        """Return the time until the next request ahead of demand, in seconds.

        It is that of one expected request, within the limits, and longer without
        requests since, which the account may send elsewhere now.
        """
        if not self._has_arrivals:
            return self._terms.lifetime
        shortest = self._terms.lifetime / _MAX_ASKS_PER_LIFETIME
        expected = self._use.size / max(self._use.rate(now), 1e-9)
        return min(self._terms.lifetime, max(shortest, expected))

    def receive(
        self, offer: QuotaOffer, version: int, asked_at: float, now: float
    ) -> None:
        """Take in the answer to a request that was sent at ``asked_at``."""
        if version < self._version:
            return
        expires_at = asked_at + min(offer.valid_for, self._terms.lifetime)
        if expires_at > now:
            self._balance.add(offer.tokens, expires_at)
        if offer.available_in is not None and offer.is_known:
            pause = 0.0 if self._terms.is_individual else _DENIED_SECONDS
            self._denied_until = now + max(offer.available_in, pause)
