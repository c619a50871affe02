"""Keep retries from becoming the load."""


class RetryBudget:
    """Allow further attempts as a fraction of first attempts.

    The budget never holds more than ``most``, so that a long calm can't pay for a
    storm.
    """

    def __init__(self, fraction: float, most: float) -> None:
        self._fraction = fraction
        self._most = most
        self._left = most

    @property
    def left(self) -> float:
        """Return how many further attempts are allowed now."""
        return self._left

    def note_first(self) -> None:
        """Count a first attempt."""
        self._left = min(self._most, self._left + self._fraction)

    def take(self) -> bool:
        """Use one further attempt if the budget allows it."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
