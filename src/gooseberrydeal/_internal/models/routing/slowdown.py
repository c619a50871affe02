"""Define how slow a server can be, relative to its usual speed."""

from typing import Final

NORMAL_SLOWDOWN: Final = 1.0
# Servers that share their machines are neither over ten times as fast as usual nor over
# a hundred times as slow.
_MIN_SLOWDOWN: Final = 0.1
_MAX_SLOWDOWN: Final = 100.0


def is_plausible_slowdown(slowdown: float) -> bool:
    """Return whether a server can have a slowdown; infinity and NaN are none."""
    return _MIN_SLOWDOWN <= slowdown <= _MAX_SLOWDOWN
