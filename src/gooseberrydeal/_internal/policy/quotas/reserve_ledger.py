"""Count what a host spends of its reserve."""

from collections import deque
from typing import Final

# A single request may need a whole reserve, which is a sum of fractions.
_TOLERANCE_TOKENS: Final = 1e-9


class ReserveLedger:
    """Hold what was spent without a grant, and when.

    What a request that did not run has spent stays spent.
    """

    def __init__(self) -> None:
        self._spent: deque[tuple[float, float]] = deque()

    def spend(self, size: float, reserve: float, window: float, now: float) -> bool:
        """Spend ``size`` if at most ``reserve`` is spent in the window that ends now.

        Returns whether it was spent.
        """
        while self._spent and self._spent[0][0] < now - window:
            self._spent.popleft()
        spent = sum(part for _, part in self._spent)
        if spent + size > reserve + _TOLERANCE_TOKENS:
            return False
        self._spent.append((now, size))
        return True
