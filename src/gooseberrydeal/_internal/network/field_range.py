"""Limit numbers in the messages of other hosts to what makes sense.

A number beyond its range, as an earlier version may send one that a server stated, is
replaced, so that it costs neither the rest of its message nor a decision.
"""

from typing import Final

from gooseberrydeal._internal.models.routing.slowdown import (
    NORMAL_SLOWDOWN,
    is_plausible_slowdown,
)

# Callers state the tokens of their requests with up to 15 digits.
_MAX_COUNT: Final = 10**15
# Longer times make no difference to a decision.
_MAX_MILLISECONDS: Final = 10**12
_PERCENT: Final = 100


def _limited(value: int, lowest: int, highest: int) -> int:
    """Return an integer, or the end of the range beyond which it is."""
    return max(lowest, min(highest, int(value)))


def count(value: int) -> int:
    """Return a number of requests, tokens or the like.

    Raises ``ValueError``, ``TypeError`` or ``OverflowError`` if it is no number.
    """
    return _limited(value, 0, _MAX_COUNT)


def seconds(milliseconds: int) -> float:
    """Return a time or an age; raise as :func:`count`."""
    return _limited(milliseconds, 0, _MAX_MILLISECONDS) / 1000


def signed_seconds(milliseconds: int) -> float:
    """Return a time that may be in the past; raise as :func:`count`."""
    return _limited(milliseconds, -_MAX_MILLISECONDS, _MAX_MILLISECONDS) / 1000


def slowdown(percent: int) -> float:
    """Return a slowdown, the normal one if no server can have it."""
    found = _limited(percent, 0, _MAX_COUNT) / _PERCENT
    return found if is_plausible_slowdown(found) else NORMAL_SLOWDOWN
