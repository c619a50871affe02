"""Hold the tokens that were granted to this host for one account."""

from collections import deque
from dataclasses import dataclass

from gooseberrydeal._internal.policy.quotas.account_allocation import TOLERANCE_TOKENS


@dataclass(slots=True, eq=False)
class TokenLot:
    """Hold tokens that may be spent before ``expires_at``."""

    tokens: float
    expires_at: float


Spending = tuple[tuple[TokenLot, float], ...]


class TokenBalance:
    """Spend the tokens that expire first before others."""

    def __init__(self) -> None:
        self._lots: deque[TokenLot] = deque()

    def add(self, tokens: float, expires_at: float) -> None:
        """Add tokens that were granted."""
        if tokens > 0.0:
            self._lots.append(TokenLot(tokens, expires_at))

    def available(self, at: float) -> float:
        """Return how many tokens are left that may be spent at a time."""
        return sum(lot.tokens for lot in self._lots if lot.expires_at > at)

    def spend(self, size: float, now: float) -> Spending | None:
        """Take the tokens for a request; return ``None`` if there are too few."""
        while self._lots and self._lots[0].expires_at <= now:
            self._lots.popleft()
        if self.available(now) + TOLERANCE_TOKENS < size:
            return None
        spent: list[tuple[TokenLot, float]] = []
        for lot in self._lots:
            if lot.expires_at <= now:
                continue
            part = min(lot.tokens, size)
            lot.tokens -= part
            size -= part
            spent.append((lot, part))
            if size <= 0.0:
                break
        return tuple(spent)

    def give_back(self, spending: Spending) -> None:
        """Return the tokens of a request that did not run.

        Those whose lot has expired or was discarded since are lost.
        """
        for lot, part in spending:
            lot.tokens += part

    def discard(self) -> None:
        """Remove all tokens."""
        self._lots.clear()
