"""Limit this host's share of the retries permitted for a service."""

import math
from collections import deque
from typing import Final

# Fraction of the share that stays unused as a safety margin: hosts detect each other's
# joining and leaving with a delay, and may align the window differently.
_RESERVED_FRACTION: Final = 0.2
_BUCKET_SECONDS: Final = 0.5


class RetryWindow:
    """Count first attempts and retries of one service over a sliding window.

    Retries may be at most ``ratio`` of this host's first attempts, plus this host's
    share of ``slack`` retries, which all hosts divide equally.
    """

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._buckets = math.ceil(window_seconds / _BUCKET_SECONDS)
        self._counts: deque[tuple[int, int, int]] = deque()

    def note_first_attempt(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._add(now, 1, 0)

    def take(self, now: float, hosts: int) -> bool:
        """Count a retry and return ``True`` if this host's share allows it."""
        self._drop_expired(now)
        firsts = sum(first for _, first, _ in self._counts)
        retries = sum(retry for _, _, retry in self._counts)
        share = self._slack / max(1, hosts)
        allowed = (self._ratio * firsts + share) * (1 - _RESERVED_FRACTION)
        if retries + 1 > allowed:
            return False
        self._add(now, 0, 1)
        return True

    def _add(self, now: float, firsts: int, retries: int) -> None:
        self._drop_expired(now)
        bucket = int(now / _BUCKET_SECONDS)
        if self._counts and self._counts[-1][0] == bucket:
            _, first, retry = self._counts.pop()
            firsts, retries = firsts + first, retries + retry
        self._counts.append((bucket, firsts, retries))

    def _drop_expired(self, now: float) -> None:
        oldest = int(now / _BUCKET_SECONDS) - self._buckets
        while self._counts and self._counts[0][0] < oldest:
            self._counts.popleft()
