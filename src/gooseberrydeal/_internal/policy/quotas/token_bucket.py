"""Keep a token bucket."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Gain ``rate`` tokens per second, up to ``size``.

    ``level`` is below zero after more was taken than the bucket held.
    """

    rate: float
    size: float
    level: float
    updated_at: float

    def refill(self, now: float) -> float:
        """Add the tokens gained until ``now`` (seconds); return the level."""
        gained = max(0.0, now - self.updated_at) * self.rate
        self.level = min(self.size, self.level + gained)
        self.updated_at = max(self.updated_at, now)
        return self.level

    def take(self, tokens: float) -> None:
        """Remove tokens, also more than the bucket holds."""
        self.level -= tokens

    def seconds_until(self, tokens: float) -> float:
        """Return the seconds from the last refill until the level is ``tokens``."""
        return max(0.0, tokens - self.level) / self.rate
