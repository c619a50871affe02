"""Expect how often an adapter will be asked for."""

from collections import OrderedDict
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey

# Popularity shifts within seconds; older requests say little.
_HALF_LIFE_SECONDS: Final = 4.0
# Adapters that are remembered, by least recent request.
_REMEMBERED: Final = 2048


class AdapterDemand:
    """Keep a decaying count of each adapter's requests at this host."""

    def __init__(self) -> None:
        self._counts: OrderedDict[AdapterKey, tuple[float, float]] = OrderedDict()

    def note_request(self, key: AdapterKey, now: float) -> None:
        """Count a request."""
        count = self._decayed(key, now) + 1.0
        self._counts[key] = (count, now)
        self._counts.move_to_end(key)
        if len(self._counts) > _REMEMBERED:
            self._counts.popitem(last=False)

    def uses_ahead(self, key: AdapterKey, now: float) -> float:
        """Return how many requests a copy would serve while demand stays alike."""
        return self._decayed(key, now)

    def _decayed(self, key: AdapterKey, now: float) -> float:
        count, at = self._counts.get(key, (0.0, now))
        return float(count * 0.5 ** ((now - at) / _HALF_LIFE_SECONDS))
