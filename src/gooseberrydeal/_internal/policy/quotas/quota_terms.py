"""Derive how an account's tokens are granted from its quota and the bounds."""

from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.routing.client_account import (
    AccountQuota,
    QuotaUnit,
)
from gooseberrydeal._internal.models.routing.host_settings import RoutingBounds

# The longest time for which a grant is valid.
_MAX_LIFETIME_SECONDS: Final = 1.0
# What a request waits for a grant, so no grant needs to be valid for less.
ANSWER_SECONDS: Final = 0.15
# Parts of what an account may exceed its quota by: for grants that are spent later than
# they are made, and for the reserves of hosts whose allocator does not answer. The rest
# is for buckets larger than the burst. What grants need no more of, as they are valid
# for the longest time already, goes to the reserves, which are all that is left for
# some seconds when many hosts lose or regain the store.
_LIFETIME_FRACTION: Final = 0.6
_SETTLED_RESERVE_FRACTION: Final = 0.2
_UNSETTLED_RESERVE_FRACTION: Final = 0.1
_BUCKET_FRACTION: Final = 0.1
# A host that does not know all hosts takes as small a reserve as if there were this
# many, which is the largest deployment.
_MAX_HOSTS: Final = 340
# A bucket holds the tokens of one second, so that uneven load within it is served.
_BUCKET_SECONDS: Final = 1.0
# Where the bound leaves no room for that, a bucket holds this part of a window's
# tokens, and its rate is lower by as much.
_MIN_BUCKET_WINDOW_FRACTION: Final = 0.02


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """Hold how the tokens of one account are granted, in the quota's unit and seconds.

    The allocator's bucket gains ``rate`` tokens per second and holds ``size``; a single
    request of up to ``largest`` tokens may empty it below zero. Grants are valid for
    ``lifetime``. With ``is_individual``, tokens are granted to waiting requests only.
    In any ``window``, a host may spend ``settled_reserve`` divided by the number of
    hosts without a grant, or ``unsettled_reserve`` if it does not know the hosts.
    """

    rate: float
    size: float
    largest: float
    lifetime: float
    is_individual: bool
    window: float
    settled_reserve: float
    unsettled_reserve: float

    @classmethod
    def from_quota(cls, quota: AccountQuota, bounds: RoutingBounds) -> "QuotaTerms":
        """Return the terms that keep an account within its quota and the bounds."""
        limit = quota.per_second * bounds.quota_window + quota.burst
        excess = bounds.quota_overshoot * limit + bounds.quota_slack
        lifetime = min(
            _MAX_LIFETIME_SECONDS, _LIFETIME_FRACTION * excess / quota.per_second
        )
        unsettled = _UNSETTLED_RESERVE_FRACTION * excess
        settled = max(
            _SETTLED_RESERVE_FRACTION * excess,
            (1.0 - _BUCKET_FRACTION) * excess - unsettled - quota.per_second * lifetime,
        )
        granted = limit + excess - settled - unsettled
        if lifetime > ANSWER_SECONDS:
            size, rate = _bucket(quota, bounds, granted, lifetime)
        if lifetime <= ANSWER_SECONDS or rate < quota.per_second:
            lifetime = ANSWER_SECONDS
            size, rate = _bucket(quota, bounds, granted, lifetime)
        return cls(
            rate,
            size,
            granted - rate * (bounds.quota_window + lifetime),
            lifetime,
            lifetime <= ANSWER_SECONDS,
            bounds.quota_window,
            settled,
            unsettled / _MAX_HOSTS,
        )

    def reserve(self, hosts: int | None) -> float:
        """Return what one host may spend without a grant in any window.

        ``hosts`` is the number of hosts, ``None`` if this host may not know all.
        """
        return self.settled_reserve / hosts if hosts else self.unsettled_reserve


def _bucket(
    quota: AccountQuota, bounds: RoutingBounds, granted: float, lifetime: float
) -> tuple[float, float]:
    """Return a bucket's size and rate.

    What is spent in a window was granted within the window and a lifetime, so the
    tokens of the rate in that time and a full bucket must not exceed ``granted``.
    """
    span = bounds.quota_window + lifetime
    rate = quota.per_second
    size = max(
        quota.burst,
        min(rate * _BUCKET_SECONDS, granted - rate * span),
        rate * bounds.quota_window * _MIN_BUCKET_WINDOW_FRACTION,
    )
    if quota.unit is QuotaUnit.REQUESTS and granted > 1.0:
        size = max(size, 1.0)
    return size, min(rate, (granted - size) / span)
