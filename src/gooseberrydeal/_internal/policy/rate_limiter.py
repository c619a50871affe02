"""Limit the request rate of each caller."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

_BURST_SECONDS: Final = 2.0
_MAX_CALLERS: Final = 10_000


@dataclass(slots=True)
class _Bucket:
    tokens: float
    updated_at: float


class RateLimiter:
    """Keep a token bucket per caller."""

    def __init__(self) -> None:
        self._buckets: OrderedDict[str, _Bucket] = OrderedDict()

    def try_acquire(self, caller: str, rate: float, now: float) -> float:
        """Take a token and return 0, or return the seconds until one is available.

        ``rate`` is the caller's limit in requests per second.
        """
        burst = max(1.0, rate * _BURST_SECONDS)
        bucket = self._buckets.get(caller)
        if bucket is None:
            bucket = self._buckets[caller] = _Bucket(burst, now)
            if len(self._buckets) > _MAX_CALLERS:
                self._buckets.popitem(last=False)
        bucket.tokens = min(burst, bucket.tokens + (now - bucket.updated_at) * rate)
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            return (1.0 - bucket.tokens) / rate
        bucket.tokens -= 1.0
        return 0.0
