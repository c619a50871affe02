"""Bound this host's share of the retries that a service may get."""

import math
from collections import deque
from typing import Final

# Hosts join and leave unnoticed for a while, and others may count the window's edges
# differently; this part of the share is never used.
_RESERVE: Final = 0.2
_BUCKET_SECONDS: Final = 0.5


class RetryWindow:
    """Count first sends and repeats of one service over a sliding window."""

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._buckets = math.ceil(window_seconds / _BUCKET_SECONDS)
        self._counts: deque[tuple[int, int, int]] = deque()

    def note_first(self, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._add(now, 1, 0)

    def take(self, now: float, hosts: int) -> bool:
        """Count a repeat if this host's share allows it."""
        self._drop_old(now)
        firsts = sum(first for _, first, _ in self._counts)
        repeats = sum(repeat for _, _, repeat in self._counts)
        share = self._slack / max(1, hosts)
        allowed = (self._ratio * firsts + share) * (1 - _RESERVE)
        if repeats + 1 > allowed:
            return False
        self._add(now, 0, 1)
        return True

    def _add(self, now: float, firsts: int, repeats: int) -> None:
        self._drop_old(now)
        bucket = int(now / _BUCKET_SECONDS)
        if self._counts and self._counts[-1][0] == bucket:
            _, first, repeat = self._counts.pop()
            firsts, repeats = firsts + first, repeats + repeat
        self._counts.append((bucket, firsts, repeats))

    def _drop_old(self, now: float) -> None:
        oldest = int(now / _BUCKET_SECONDS) - self._buckets
        while self._counts and self._counts[0][0] < oldest:
            self._counts.popleft()
