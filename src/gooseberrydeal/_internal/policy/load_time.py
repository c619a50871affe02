"""Predict how long an adapter load takes on an engine."""

from collections import OrderedDict
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey

# Initial estimate for a fetch from the weight store, corrected by observed loads.
_INITIAL_FETCH_SECONDS: Final = 0.3
# A copy that the engine still has in memory loads this many times faster.
_WARM_SPEEDUP: Final = 10.0
_MIN_FETCH_SECONDS: Final = 0.05
_MAX_FETCH_SECONDS: Final = 3.0
# The estimate is raised when a load was not ready in time, and lowered when it was. It
# is lowered fast until the first load that was not ready, then slowly, so that requests
# rarely reach an engine before their adapter is loaded.
_RAISE_FACTOR: Final = 1.06
_INITIAL_LOWER_FACTOR: Final = 0.96
_LOWER_FACTOR: Final = 0.998
# Time for the engine to register a completed load.
_COMPLETION_MARGIN_SECONDS: Final = 0.015
# Concurrent fetches that the weight store serves at full speed.
_MAX_FULL_SPEED_FETCHES: Final = 24
# Copies whose weights an engine keeps in memory; it drops the least recently used.
_MAX_COPIES_IN_MEMORY: Final = 96


class LoadTime:
    """Estimate the fetch time and track which copies an engine has in memory."""

    def __init__(self) -> None:
        self._fetch_seconds = _INITIAL_FETCH_SECONDS
        self._was_underestimated = False
        self._in_memory: OrderedDict[AdapterCopyKey, None] = OrderedDict()

    @property
    def fetch_seconds(self) -> float:
        """Return the expected seconds for a fetch at full speed."""
        return self._fetch_seconds

    def is_warm(self, key: AdapterCopyKey) -> bool:
        """Return whether the engine probably still has the weights in memory."""
        return key in self._in_memory

    def expected_seconds(self, key: AdapterCopyKey, fetching: int) -> float:
        """Return the expected seconds until a load that begins now is ready.

        ``fetching`` is the number of loads already in progress at all engines.
        """
        if self.is_warm(key):
            return self._fetch_seconds / _WARM_SPEEDUP + _COMPLETION_MARGIN_SECONDS
        slowdown = max(1.0, (fetching + 1) / _MAX_FULL_SPEED_FETCHES)
        return self._fetch_seconds * slowdown + _COMPLETION_MARGIN_SECONDS

    def note_held(self, key: AdapterCopyKey) -> None:
        """Record that the engine has the weights in memory."""
        self._in_memory.pop(key, None)
        self._in_memory[key] = None
        if len(self._in_memory) > _MAX_COPIES_IN_MEMORY:
            self._in_memory.popitem(last=False)

    def note_restart(self) -> None:
        """Record a restart of the engine, which clears its memory."""
        self._in_memory.clear()

    def note_late(self) -> None:
        """Record a load that was not ready when expected; raise the estimate."""
        self._was_underestimated = True
        self._fetch_seconds = min(
            _MAX_FETCH_SECONDS, self._fetch_seconds * _RAISE_FACTOR
        )

    def note_on_time(self) -> None:
        """Record a load that was ready when expected; lower the estimate."""
        factor = _LOWER_FACTOR if self._was_underestimated else _INITIAL_LOWER_FACTOR
        self._fetch_seconds = max(_MIN_FETCH_SECONDS, self._fetch_seconds * factor)
