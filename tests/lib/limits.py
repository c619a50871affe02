"""Compare the requests that servers got with the limits that they stated."""

from collections.abc import Sequence

_WINDOW_SECONDS = 4.0
_ALLOWED_EXCESS = 1.5
_ALLOWED_EXTRA_REQUESTS = 5


def allowed_requests(limit: float) -> float:
    """Return how many requests a window may have, by the platform's bound."""
    return _ALLOWED_EXCESS * limit * _WINDOW_SECONDS + _ALLOWED_EXTRA_REQUESTS


def most_in_window(times: Sequence[float]) -> int:
    """Return the largest number of times in any window."""
    ordered = sorted(times)
    return max(
        (
            sum(start <= time < start + _WINDOW_SECONDS for time in ordered[first:])
            for first, start in enumerate(ordered)
        ),
        default=0,
    )
