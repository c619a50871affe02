"""Grant the tokens of one account."""

import math
from typing import Final

from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaOffer,
    QuotaWant,
)
from gooseberrydeal._internal.policy.quotas.quota_terms import QuotaTerms
from gooseberrydeal._internal.policy.quotas.token_bucket import TokenBucket

# With less than this part of its tokens left, a bucket grants less than is asked for
# ahead of demand, since tokens expire at hosts that the account has left.
_AMPLE_LEVEL: Final = 0.9
_SCARCE_LEVEL: Final = 0.5
# The least part of what is asked for ahead of demand that is granted.
_MIN_AHEAD_FRACTION: Final = 0.1
# One host gets at most this part of a bucket ahead of demand.
_MAX_AHEAD_OF_LEVEL: Final = 0.5
# Sums of fractions of tokens are exact to less than this.
TOLERANCE_TOKENS: Final = 1e-6


class AccountAllocation:
    """Hold one account's token bucket.

    The bucket is empty at ``starts_at``, when this host may begin to grant, since
    another host may have granted what it held until then. ``checked_at`` is when this
    host was last known to be the allocator.
    """

    def __init__(self, terms: QuotaTerms, starts_at: float) -> None:
        self.checked_at = starts_at
        self._terms = terms
        self._starts_at = starts_at
        self._bucket = TokenBucket(terms.rate, terms.size, 0.0, starts_at)

    def set_terms(self, terms: QuotaTerms, now: float) -> None:
        """Apply a changed quota; a smaller bucket loses what does not fit into it."""
        if terms != self._terms:
            self._bucket.refill(now)
            self._terms = terms
            self._bucket.rate, self._bucket.size = terms.rate, terms.size
            self._bucket.refill(now)

    def used_share(self, now: float) -> float:
        """Return which part of the bucket is empty: 1 if the limit is used up."""
        return min(1.0, max(0.0, 1.0 - self._bucket.refill(now) / self._terms.size))

    def is_idle(self, now: float) -> bool:
        """Return whether a new bucket would be as full as this one."""
        filled_at = self._starts_at + self._terms.size / self._terms.rate
        return now > filled_at and self._bucket.refill(now) >= self._terms.size

    def offer(self, want: QuotaWant, now: float) -> QuotaOffer:
        """Grant tokens to waiting requests, then some ahead of demand."""
        level = self._bucket.refill(now)
        tokens = self._for_waiting(want, level)
        available_in = None
        is_known = True
        if tokens + TOLERANCE_TOKENS < want.waiting:
            self._bucket.take(tokens)
            needed = min(want.size, self._terms.size)
            available_in = self._bucket.seconds_until(needed)
            if want.size > max(self._terms.largest, self._terms.size):
                available_in = self._terms.window
            # A bucket that was empty at the start and has not filled since says
            # nothing of what the account did before.
            filled_at = self._starts_at + self._terms.size / self._terms.rate
            is_known = now >= filled_at
        else:
            if not self._terms.is_individual:
                tokens += self._ahead(want, level - tokens)
            self._bucket.take(tokens)
        return QuotaOffer(
            want.account, tokens, self._terms.lifetime, available_in, is_known
        )

    def _for_waiting(self, want: QuotaWant, level: float) -> float:
        available = level + TOLERANCE_TOKENS
        if want.waiting <= available:
            return want.waiting
        if want.size <= available:
            return math.floor(available / want.size) * want.size
        is_full = available >= self._terms.size
        return want.size if is_full and want.size <= self._terms.largest else 0.0

    def _ahead(self, want: QuotaWant, left: float) -> float:
        """Return what to grant ahead of demand, in whole requests."""
        if left <= 0.0 or want.size <= 0.0:
            return 0.0
        range_ = _AMPLE_LEVEL - _SCARCE_LEVEL
        fraction = (left / self._terms.size - _SCARCE_LEVEL) / range_
        tokens = min(
            min(want.ahead, self._terms.rate * self._terms.lifetime)
            * min(1.0, max(_MIN_AHEAD_FRACTION, fraction)),
            left * _MAX_AHEAD_OF_LEVEL,
        )
        return math.floor(tokens / want.size + TOLERANCE_TOKENS) * want.size
