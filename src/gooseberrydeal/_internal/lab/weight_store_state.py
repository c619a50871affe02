"""Model the rate limit of the weight store and its slowdown under load."""

from collections import deque
from typing import Final

from gooseberrydeal._internal.utils.clock import Clock

RATE_WINDOW_SECONDS: Final = 2.0
_FETCH_TIME_FRACTION: Final = 0.5


class WeightStoreState:
    """Count fetches and compute the duration of each.

    A fetch is refused if it would exceed ``loads_per_second`` on average over the last
    two seconds. A load takes ``load_seconds``, half to fetch and half to install the
    weights. Fetch time grows in proportion to the number of loads in flight once this
    exceeds ``fetch_parallelism``; install time does so above ``install_parallelism``.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        loads_per_second: int,
        fetch_parallelism: int,
        install_parallelism: int,
        load_seconds: float,
    ) -> None:
        self._clock = clock
        self._max_fetches_in_window = loads_per_second * RATE_WINDOW_SECONDS
        self._fetch_parallelism = fetch_parallelism
        self._install_parallelism = install_parallelism
        self._load_seconds = load_seconds
        self._recent_starts: deque[float] = deque()
        self._in_flight = 0
        self._most_in_flight = 0
        self._fetches = 0
        self._refused = 0
        self._missing: set[str] = set()
        self._fetch_start_times: list[float] = []

    @property
    def fetches(self) -> int:
        """Return the number of fetches that were started."""
        return self._fetches

    @property
    def refused(self) -> int:
        """Return the number of fetches refused by the rate limit."""
        return self._refused

    @property
    def most_in_flight(self) -> int:
        """Return the largest number of concurrent fetches."""
        return self._most_in_flight

    @property
    def fetch_start_times(self) -> list[float]:
        """Return the start time of each fetch, in seconds of the monotonic clock."""
        return self._fetch_start_times

    def mark_missing(self, path: str) -> None:
        """Make ``exists`` report a path as missing."""
        self._missing.add(path)

    def exists(self, path: str) -> bool:
        """Return whether the store has weights at a path."""
        return path not in self._missing

    def begin(self) -> float | None:
        """Start a fetch; return its duration in seconds, or ``None`` if refused."""
        now = self._clock.monotonic()
        while (
            self._recent_starts and self._recent_starts[0] <= now - RATE_WINDOW_SECONDS
        ):
            self._recent_starts.popleft()
        if len(self._recent_starts) >= self._max_fetches_in_window:
            self._refused += 1
            return None
        self._recent_starts.append(now)
        self._fetch_start_times.append(now)
        self._fetches += 1
        self._in_flight += 1
        self._most_in_flight = max(self._most_in_flight, self._in_flight)
        fetch_seconds = self._load_seconds * _FETCH_TIME_FRACTION
        install_seconds = self._load_seconds * (1 - _FETCH_TIME_FRACTION)
        fetch_seconds *= max(1.0, self._in_flight / self._fetch_parallelism)
        install_seconds *= max(1.0, self._in_flight / self._install_parallelism)
        return fetch_seconds + install_seconds

    def end(self) -> None:
        """End a fetch."""
        self._in_flight -= 1
