"""Limit retries to a fraction of the requests, to prevent retry storms."""


class RetryBudget:
    """Allow further attempts as a fraction of first attempts.

    Each first attempt adds ``fraction`` of a retry to the budget, which starts at
    ``capacity`` and never exceeds it: a long period without failures must not
    accumulate enough retries for a storm.
    """

    def __init__(self, fraction: float, capacity: float) -> None:
        self._fraction = fraction
        self._capacity = capacity
        self._remaining = capacity

    @property
    def remaining(self) -> float:
        """Return the number of further attempts allowed now."""
        return self._remaining

    def note_first_attempt(self) -> None:
        """Count a first attempt."""
        self._remaining = min(self._capacity, self._remaining + self._fraction)

    def take(self) -> bool:
        """Consume one further attempt and return whether the budget allowed it."""
        if self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True
