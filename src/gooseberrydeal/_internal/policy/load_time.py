"""Predict how long an adapter load takes."""

from collections import OrderedDict
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey

# First guess for a fetch from the weight store; corrected by what is seen.
_FIRST_GUESS_SECONDS: Final = 0.3
# A copy that the engine held before loads this many times faster.
_WARM_FACTOR: Final = 10.0
_LEAST_SECONDS: Final = 0.05
_MOST_SECONDS: Final = 3.0
# Loads that were ready lower the estimate, fast until the first that was not, then
# slowly, so that a request that comes too early stays rare.
_RAISE: Final = 1.06
_LOWER_FIRST: Final = 0.96
_LOWER: Final = 0.998
# Time for the engine to take notice of a completed load.
_MARGIN_SECONDS: Final = 0.015
# Fetches that the weight store serves at full speed.
_FULL_SPEED_FETCHES: Final = 24
# Copies that an engine keeps in memory, by least recent use.
_REMEMBERED: Final = 96


class LoadTime:
    """Learn the time of fetches and remember what an engine held."""

    def __init__(self) -> None:
        self._fetch_seconds = _FIRST_GUESS_SECONDS
        self._was_early = False
        self._held_before: OrderedDict[AdapterCopyKey, None] = OrderedDict()

    @property
    def fetch_seconds(self) -> float:
        """Return the expected time of a fetch at full speed."""
        return self._fetch_seconds

    def is_warm(self, key: AdapterCopyKey) -> bool:
        """Return whether the engine probably still has the weights."""
        return key in self._held_before

    def expect(self, key: AdapterCopyKey, fetching: int) -> float:
        """Return the seconds until a load that begins now is ready."""
        if self.is_warm(key):
            return self._fetch_seconds / _WARM_FACTOR + _MARGIN_SECONDS
        slowed = max(1.0, (fetching + 1) / _FULL_SPEED_FETCHES)
        return self._fetch_seconds * slowed + _MARGIN_SECONDS

    def note_held(self, key: AdapterCopyKey) -> None:
        """Note that the engine has the weights."""
        self._held_before.pop(key, None)
        self._held_before[key] = None
        if len(self._held_before) > _REMEMBERED:
            self._held_before.popitem(last=False)

    def note_restart(self) -> None:
        """Forget what the engine held."""
        self._held_before.clear()

    def note_early(self) -> None:
        """Note that a load was not ready when it was expected."""
        self._was_early = True
        self._fetch_seconds = min(_MOST_SECONDS, self._fetch_seconds * _RAISE)

    def note_ready(self) -> None:
        """Note that a load was ready when it was expected."""
        lower = _LOWER if self._was_early else _LOWER_FIRST
        self._fetch_seconds = max(_LEAST_SECONDS, self._fetch_seconds * lower)
