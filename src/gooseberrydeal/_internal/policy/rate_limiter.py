"""Limit the request rate of each caller."""

from collections import OrderedDict
from typing import Final

from gooseberrydeal._internal.policy.quotas.token_bucket import TokenBucket

_BURST_SECONDS: Final = 2.0
_MAX_CALLERS: Final = 10_000


class RateLimiter:
    """Keep a token bucket per caller."""

    def __init__(self) -> None:
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def try_acquire(self, caller: str, rate: float, now: float) -> float:
        """Take a token and return 0, or return the seconds until one is available.

        ``rate`` is the caller's limit in requests per second.
        """
        burst = max(1.0, rate * _BURST_SECONDS)
        bucket = self._buckets.get(caller)
        if bucket is None:
            bucket = self._buckets[caller] = TokenBucket(rate, burst, burst, now)
            if len(self._buckets) > _MAX_CALLERS:
                self._buckets.popitem(last=False)
        bucket.rate, bucket.size = rate, burst
        if bucket.refill(now) < 1.0:
            return bucket.seconds_until(1.0)
        bucket.take(1.0)
        return 0.0
