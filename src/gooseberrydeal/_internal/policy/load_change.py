"""Decide whether a change of an engine's load is worth a message of its own."""

from typing import Final

# Engines state a slowdown with each response that varies by a few percent all the time.
# Less than this hardly changes which engine is chosen; the next regular report has it.
_SLOWDOWN_CHANGE_FRACTION: Final = 0.1


def has_slowdown_changed(reported: float, current: float, *, reports_all: bool) -> bool:
    """Return whether the slowdown differs enough from the one reported last.

    Designed for hundreds of hosts whose responses each state a slowdown. Where all
    hosts hear everything, any change is worth a message, which has the other counts
    of the engine's load too.
    """
    if reports_all:
        return current != reported
    return abs(current - reported) > reported * _SLOWDOWN_CHANGE_FRACTION
