"""Limit retries to a fraction of the requests, to prevent retry storms."""


class RetryBudget:
    """Allow further attempts as a fraction of first attempts.

    Each first attempt adds ``fraction`` of a retry to the budget, which starts at
    ``most`` and never exceeds it: a long period without failures must not accumulate
    enough retries for a storm.
    """

    def __init__(self, fraction: float, most: float) -> None:
        self._fraction = fraction
        self._most = most
        self._left = most

    @property
    def left(self) -> float:
        """Return the number of further attempts allowed now."""
        return self._left

    def note_first(self) -> None:
        """Count a first attempt."""
        self._left = min(self._most, self._left + self._fraction)

    def take(self) -> bool:
        """Consume one further attempt and return whether the budget allowed it."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
