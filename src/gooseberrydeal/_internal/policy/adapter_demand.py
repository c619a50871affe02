"""Estimate the recent demand for each adapter on this host."""

from collections import OrderedDict
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey

# Adapter popularity shifts within seconds, so older requests predict little.
_HALF_LIFE_SECONDS: Final = 4.0
# Bounds memory; the least recently requested adapter is dropped first.
_MAX_ADAPTERS: Final = 2048


class AdapterDemand:
    """Keep an exponentially decaying request count per adapter."""

    def __init__(self) -> None:
        self._counts: OrderedDict[AdapterKey, tuple[float, float]] = OrderedDict()

    def note_request(self, key: AdapterKey, now: float) -> None:
        """Count a request for an adapter at time ``now`` (seconds)."""
        count = self._decayed(key, now) + 1.0
        self._counts[key] = (count, now)
        self._counts.move_to_end(key)
        if len(self._counts) > _MAX_ADAPTERS:
            self._counts.popitem(last=False)

    def expected_uses(self, key: AdapterKey, now: float) -> float:
        """Return how many requests a new copy would serve if demand stays the same."""
        return self._decayed(key, now)

    def _decayed(self, key: AdapterKey, now: float) -> float:
        count, updated_at = self._counts.get(key, (0.0, now))
        return float(count * 0.5 ** ((now - updated_at) / _HALF_LIFE_SECONDS))
