"""Define how slow a server can be, relative to its usual speed."""

from typing import Final

NORMAL_SLOWDOWN: Final = 1.0
# Decisions divide by slowdowns and multiply with them. No server that shares a machine
# becomes ten times as fast, and one that is a hundred times as slow serves nobody.
MIN_SLOWDOWN: Final = 0.1
MAX_SLOWDOWN: Final = 100.0


def is_plausible_slowdown(slowdown: float) -> bool:
    """Return whether a server can have a slowdown; infinity and NaN are none."""
    return MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN
