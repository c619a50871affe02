"""Track the adapter slots of one engine and choose copies to evict."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import (
    AdapterCopyKey,
    AdapterKey,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState

# An engine runs at most this many adapter loads concurrently.
MAX_CONCURRENT_LOADS: Final = 4
# Half-life of a copy's demand. Popularity shifts within seconds, and the set of loaded
# adapters must follow it.
_DEMAND_HALF_LIFE_SECONDS: Final = 8.0
# A copy is not evicted for this long after it became ready, so that the requests that
# triggered its load can still use it.
_EVICTION_GRACE_SECONDS: Final = 0.6


@dataclass(slots=True)
class HeldCopy:
    """Describe an adapter copy that occupies a slot.

    ``demand`` is an exponentially decaying request count, valid at ``demand_at``.
    ``ready_at`` is the time at which a load completed or is expected to complete.
    """

    state: CopyState
    ready_at: float
    demand: float = 0.0
    demand_at: float = 0.0
    used_at: float = 0.0

    def demand_now(self, now: float) -> float:
        """Return the request count decayed to time ``now``."""
        age = max(0.0, now - self.demand_at)
        return float(self.demand * 0.5 ** (age / _DEMAND_HALF_LIFE_SECONDS))

    def note_use(self, requests: float, now: float) -> None:
        """Add ``requests`` to the demand and mark the copy as used."""
        self.demand = self.demand_now(now) + requests
        self.demand_at = now
        self.used_at = now


class AdapterSlots:
    """Track the adapter copies of an engine and choose which one to evict.

    Designed for thousands of adapters that share a few slots: a copy in use is never
    evicted; among idle copies the one with the lowest recent demand goes first.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._copies: dict[AdapterCopyKey, HeldCopy] = {}

    @property
    def copies(self) -> Mapping[AdapterCopyKey, HeldCopy]:
        """Return all copies that occupy a slot, including loading and leaving ones."""
        return self._copies

    @property
    def free(self) -> int:
        """Return the number of empty slots, below 0 if there are too few."""
        return self._slots - len(self._copies)

    def resize(self, slots: int) -> None:
        """Change the number of slots; copies beyond it stay until they are evicted."""
        self._slots = slots

    def spare_slots(
        self,
        in_use: Mapping[AdapterCopyKey, int],
        requested: set[AdapterCopyKey],
    ) -> int:
        """Return how many adapters could be loaded beyond ``requested``.

        Slots of idle copies that are not requested count as available.
        """
        taken = sum(
            copy.state is not CopyState.READY
            or bool(in_use.get(key))
            or key in requested
            for key, copy in self._copies.items()
        )
        pending = sum(key not in self._copies for key in requested)
        return max(0, self._slots - taken - pending)

    def loading(self, now: float) -> int:
        """Return the number of loads in progress."""
        self._complete_due_loads(now)
        return sum(c.state is CopyState.LOADING for c in self._copies.values())

    def reset(
        self, held: list[AdapterCopyKey], loading: list[AdapterCopyKey], now: float
    ) -> None:
        """Replace the tracked copies by those an engine reported.

        Copies that were already tracked keep their demand.
        """
        previous = self._copies
        self._copies = {}
        for key in held:
            known = previous.get(key)
            self._copies[key] = known or HeldCopy(CopyState.READY, now, demand_at=now)
            self._copies[key].state = CopyState.READY
            self._copies[key].ready_at = min(self._copies[key].ready_at, now)
        for key in loading:
            known = previous.get(key) or HeldCopy(
                CopyState.LOADING, now + _EVICTION_GRACE_SECONDS, demand_at=now
            )
            known.state = CopyState.LOADING
            known.ready_at = max(known.ready_at, now)
            self._copies[key] = known

    def begin_load(self, key: AdapterCopyKey, ready_at: float, now: float) -> None:
        """Record an accepted load, which replaces other versions of the adapter."""
        for other in [k for k in self._copies if k.key == key.key and k != key]:
            del self._copies[other]
        copy = HeldCopy(CopyState.LOADING, ready_at, demand_at=now, used_at=now)
        copy.note_use(1.0, now)
        self._copies[key] = copy

    def remove(self, key: AdapterCopyKey) -> None:
        """Record that a copy was unloaded."""
        self._copies.pop(key, None)

    def begin_unload(self, key: AdapterCopyKey) -> None:
        """Record an unload that waits for running requests to finish."""
        if key in self._copies:
            self._copies[key].state = CopyState.UNLOADING

    def other_version(self, key: AdapterCopyKey) -> AdapterCopyKey | None:
        """Return a tracked copy of another version of the adapter, if there is one."""
        for other in self._copies:
            if other.key == key.key and other != key:
                return other
        return None

    def victim(
        self,
        in_use: Mapping[AdapterCopyKey, int],
        requested: set[AdapterCopyKey],
        newest: Mapping[AdapterKey, int],
        now: float,
    ) -> AdapterCopyKey | None:
        """Return the copy to evict, or ``None`` if every copy must stay.

        Outdated versions go first, then the copy with the lowest demand. Copies that
        are in use, requested, or only just ready are not considered.
        """
        self._complete_due_loads(now)
        idle = [
            key
            for key, copy in self._copies.items()
            if copy.state is CopyState.READY
            and not in_use.get(key)
            and key not in requested
            and now - copy.ready_at >= _EVICTION_GRACE_SECONDS
        ]
        return min(
            idle, key=lambda key: self._eviction_rank(key, newest, now), default=None
        )

    def _eviction_rank(
        self, key: AdapterCopyKey, newest: Mapping[AdapterKey, int], now: float
    ) -> tuple[bool, float, float, AdapterCopyKey]:
        copy = self._copies[key]
        is_current = key.version >= newest.get(key.key, 0)
        return is_current, copy.demand_now(now), copy.used_at, key

    def _complete_due_loads(self, now: float) -> None:
        for copy in self._copies.values():
            if copy.state is CopyState.LOADING and copy.ready_at <= now:
                copy.state = CopyState.READY
