"""Keep the time up to which a host has read all changes in the metadata store."""

import math


class Freshness:
    """Hold the newest proof of what the store held.

    Times are in seconds on a monotonic clock that includes time spent suspended. A
    response is as old as its call, so a proof is the time at which a call began that
    read all changes.
    """

    def __init__(self) -> None:
        self._proven_at = -math.inf
        self._highest_revision = 0

    def read_ended(self, began_at: float, revision: int, *, is_confirmed: bool) -> bool:
        """Take account of a call that read all changes up to an ordered revision.

        Returns whether it is a proof. It is none while the store may lack changes that
        it acknowledged before it was restored (not ``is_confirmed``), or if an earlier
        read returned a later revision: then the response shows an old state.
        """
        is_stale = revision < self._highest_revision
        self._highest_revision = max(self._highest_revision, revision)
        if is_stale or not is_confirmed:
            return False
        self._proven_at = max(self._proven_at, began_at)
        return True

    def age(self, now: float) -> float:
        """Return how many seconds old the proof is, infinite without one."""
        return now - self._proven_at
