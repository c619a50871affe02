"""Decide whether a request leaves a place to more urgent ones at other hosts."""

from typing import Final

# Below this part of its places an engine has room for all that wait; what waits
# elsewhere then waits for something else.
_MIN_UTILISATION: Final = 0.7
# What hosts report of waiting requests is about this old, and what was free since was
# taken by others.
_REPORT_SECONDS: Final = 1.0
# In the last part of the time for which it may wait, a request is not held back.
_FINAL_FRACTION: Final = 0.25
# Chance decides which requests are held back; each is held for this long, so that it
# does not try again and again until it is lucky.
HOLD_SECONDS: Final = 0.25


def hold_fraction(more_urgent: int, sent_per_second: float) -> float:
    """Return which part of the less urgent requests leave their places to others.

    ``more_urgent`` requests wait at other hosts, and all hosts together send
    ``sent_per_second``. No more places are left free than these requests need, so that
    a few urgent ones do not stop all the others.
    """
    if more_urgent <= 0:
        return 0.0
    return min(1.0, more_urgent / max(1.0, sent_per_second * _REPORT_SECONDS))


def may_hold_back(utilisation: float, since: float, until: float, now: float) -> bool:
    """Return whether a request may be held back at an engine that would take it.

    ``utilisation`` is the part of the engine's places in use. The request arrived at
    ``since`` and waits until ``until`` at most.
    """
    if utilisation < _MIN_UTILISATION:
        return False
    return now < until - (until - since) * _FINAL_FRACTION
