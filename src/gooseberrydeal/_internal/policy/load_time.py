"""Predict how long an adapter load takes on an engine."""

from collections import OrderedDict
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.policy.loads.warm_copies import WarmCopies

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
# Estimate of how many concurrent fetches the weight store serves at full speed: a
# cautious start, raised by loads beyond it that are on time and lowered by late ones.
_INITIAL_FULL_SPEED_FETCHES: Final = 24.0
_MIN_FULL_SPEED_FETCHES: Final = 8.0
_MAX_FULL_SPEED_FETCHES: Final = 4096.0
_RAISE_FETCHES_FACTOR: Final = 1.1
_LOWER_FETCHES_FACTOR: Final = 0.9
# Copies whose weights an engine keeps in memory; it drops the least recently used. The
# number is lowered by loads that were expected to need no fetch but took as long.
_MAX_COPIES_IN_MEMORY: Final = 96
_MIN_COPIES_IN_MEMORY: Final = 8
_LOWER_COPIES_FACTOR: Final = 0.9


class LoadTime:
    """Estimate the fetch time and track which copies an engine has in memory."""

    def __init__(self) -> None:
        self._fetch_seconds = _INITIAL_FETCH_SECONDS
        self._full_speed_fetches = _INITIAL_FULL_SPEED_FETCHES
        self._was_underestimated = False
        self._unconfirmed: dict[AdapterCopyKey, tuple[int, bool]] = {}
        self._copies_in_memory = _MAX_COPIES_IN_MEMORY
        self._in_memory: OrderedDict[AdapterCopyKey, None] = OrderedDict()

    @property
    def fetch_seconds(self) -> float:
        """Return the expected seconds for a fetch at full speed."""
        return self._fetch_seconds

    def encode_warm_copies(self) -> bytes:
        """Return a summary of the copies whose weights the engine keeps in memory."""
        return WarmCopies.from_keys(self._in_memory).encode()

    def is_warm(self, key: AdapterCopyKey) -> bool:
        """Return whether the engine probably still has the weights in memory."""
        return key in self._in_memory

    def expected_seconds(self, key: AdapterCopyKey, fetching: int) -> float:
        """Return the expected seconds until a load that begins now is ready.

        ``fetching`` is the number of loads already in progress at all engines.
        """
        if self.is_warm(key):
            return self._fetch_seconds / _WARM_SPEEDUP + _COMPLETION_MARGIN_SECONDS
        slowdown = max(1.0, (fetching + 1) / self._full_speed_fetches)
        return self._fetch_seconds * slowdown + _COMPLETION_MARGIN_SECONDS

    def note_held(self, key: AdapterCopyKey) -> None:
        """Record that the engine has the weights in memory."""
        self._in_memory.pop(key, None)
        self._in_memory[key] = None
        while len(self._in_memory) > self._copies_in_memory:
            self._in_memory.popitem(last=False)

    def begin(self, key: AdapterCopyKey, fetching: int) -> None:
        """Record a load that was accepted, with the number already in progress."""
        self._unconfirmed[key] = fetching, self.is_warm(key)
        self.note_held(key)

    def note_used(self, key: AdapterCopyKey) -> None:
        """Record that a request began on a copy, which was ready when expected."""
        found = self._unconfirmed.pop(key, None)
        if found is not None and not found[1]:
            self.note_on_time(found[0])

    def note_missing(self, key: AdapterCopyKey) -> None:
        """Record that a copy was not there when it was expected to be ready."""
        found = self._unconfirmed.pop(key, None)
        if found is None:
            return
        fetching, was_warm = found
        if was_warm:
            copies = int(self._copies_in_memory * _LOWER_COPIES_FACTOR)
            self._copies_in_memory = max(_MIN_COPIES_IN_MEMORY, copies)
        else:
            self.note_late(fetching)

    def note_restart(self) -> None:
        """Record a restart of the engine, which clears its memory."""
        self._unconfirmed.clear()
        self._in_memory.clear()

    def note_late(self, fetching: int = 0) -> None:
        """Record a load that was not ready when expected.

        ``fetching`` is the number of loads that were in progress when it began. With
        more than run at full speed, that number is lowered, else the estimate of the
        fetch time is raised.
        """
        if fetching + 1 > self._full_speed_fetches:
            fetches = self._full_speed_fetches * _LOWER_FETCHES_FACTOR
            self._full_speed_fetches = max(_MIN_FULL_SPEED_FETCHES, fetches)
            return
        self._was_underestimated = True
        self._fetch_seconds = min(
            _MAX_FETCH_SECONDS, self._fetch_seconds * _RAISE_FACTOR
        )

    def note_on_time(self, fetching: int = 0) -> None:
        """Record a load that was ready when expected; lower the estimate.

        ``fetching`` is the number of loads that were in progress when it began. With
        more than run at full speed, the load says nothing of the time at full speed.
        """
        if fetching + 1 > self._full_speed_fetches:
            fetches = self._full_speed_fetches * _RAISE_FETCHES_FACTOR
            self._full_speed_fetches = min(_MAX_FULL_SPEED_FETCHES, fetches)
            return
        factor = _LOWER_FACTOR if self._was_underestimated else _INITIAL_LOWER_FACTOR
        self._fetch_seconds = max(_MIN_FETCH_SECONDS, self._fetch_seconds * factor)
