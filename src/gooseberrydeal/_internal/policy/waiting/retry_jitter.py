"""Spread the retries of refused clients."""

import random
from typing import Final

# Clients that retry in the same moment would be refused together again.
_SPREAD: Final = 0.5
# A shorter wait than this only repeats the refusal.
MIN_RETRY_AFTER_SECONDS: Final = 0.1


def jittered_retry_after(seconds: float, rng: random.Random) -> float:
    """Return a ``Retry-After`` of at least ``seconds``, spread at random."""
    least = max(MIN_RETRY_AFTER_SECONDS, seconds)
    return least * rng.uniform(1.0, 1.0 + _SPREAD)
