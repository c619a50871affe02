"""Model the weight store's rate and the knee of many loads in flight."""

from collections import deque
from typing import Final

from gooseberrydeal._internal.utils.clock import Clock

RATE_WINDOW_SECONDS: Final = 2.0
_FETCH_PART: Final = 0.5


class WeightStoreState:
    """Count fetches and say how long each takes.

    A fetch is refused when it would pass the rate in any window of two seconds.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        loads_per_second: int,
        full_speed: int,
        knee: int,
        load_seconds: float,
    ) -> None:
        self._clock = clock
        self._limit = loads_per_second * RATE_WINDOW_SECONDS
        self._full_speed = full_speed
        self._knee = knee
        self._load_seconds = load_seconds
        self._starts: deque[float] = deque()
        self._in_flight = 0
        self._most_in_flight = 0
        self._fetches = 0
        self._refused = 0
        self._missing: set[str] = set()
        self._history: list[float] = []

    @property
    def fetches(self) -> int:
        """Return how many fetches were begun."""
        return self._fetches

    @property
    def refused(self) -> int:
        """Return how many fetches were over the rate."""
        return self._refused

    @property
    def most_in_flight(self) -> int:
        """Return the largest number of fetches at once."""
        return self._most_in_flight

    @property
    def history(self) -> list[float]:
        """Return the start time of each fetch."""
        return self._history

    def lose(self, path: str) -> None:
        """Make a path missing."""
        self._missing.add(path)

    def exists(self, path: str) -> bool:
        """Return whether a path is there."""
        return path not in self._missing

    def begin(self) -> float | None:
        """Begin a fetch; return its seconds, or ``None`` if it is refused."""
        now = self._clock.monotonic()
        while self._starts and self._starts[0] <= now - RATE_WINDOW_SECONDS:
            self._starts.popleft()
        if len(self._starts) >= self._limit:
            self._refused += 1
            return None
        self._starts.append(now)
        self._history.append(now)
        self._fetches += 1
        self._in_flight += 1
        self._most_in_flight = max(self._most_in_flight, self._in_flight)
        fetch = self._load_seconds * _FETCH_PART
        install = self._load_seconds * (1 - _FETCH_PART)
        fetch *= max(1.0, self._in_flight / self._full_speed)
        install *= max(1.0, self._in_flight / self._knee)
        return fetch + install

    def end(self) -> None:
        """End a fetch."""
        self._in_flight -= 1
