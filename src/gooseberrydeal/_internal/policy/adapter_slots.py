"""Keep the adapter slots of one engine."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import (
    AdapterCopyKey,
    AdapterKey,
)
from gooseberrydeal._internal.models.routing.copy_state import CopyState

# Engines carry out at most this many adapter loads at a time.
MOST_LOADING: Final = 4
# Demand halves in this time: popularity shifts within seconds, and slots must follow.
_HALF_LIFE_SECONDS: Final = 8.0
# A copy that has just become ready is still awaited by the requests that asked for it.
_SETTLE_SECONDS: Final = 0.6


@dataclass(slots=True)
class HeldCopy:
    """Describe a copy; ``demand`` is a decaying count of its requests."""

    state: CopyState
    ready_at: float
    demand: float = 0.0
    demand_at: float = 0.0
    used_at: float = 0.0

    def demand_now(self, now: float) -> float:
        """Return the decayed count."""
        age = max(0.0, now - self.demand_at)
        return float(self.demand * 0.5 ** (age / _HALF_LIFE_SECONDS))

    def note_use(self, requests: float, now: float) -> None:
        """Add requests to the count."""
        self.demand = self.demand_now(now) + requests
        self.demand_at = now
        self.used_at = now


class AdapterSlots:
    """Know what an engine holds and choose what makes way.

    Answers to thousands of adapters that share a few slots: a copy in use never makes
    way, then the copy with the least recent demand does.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._copies: dict[AdapterCopyKey, HeldCopy] = {}

    @property
    def copies(self) -> Mapping[AdapterCopyKey, HeldCopy]:
        """Return all copies that take a slot."""
        return self._copies

    @property
    def free(self) -> int:
        """Return how many slots are empty."""
        return self._slots - len(self._copies)

    def spare(
        self, in_use: Mapping[AdapterCopyKey, int], wanted: set[AdapterCopyKey]
    ) -> int:
        """Return how many adapters could be loaded beside those that are wanted."""
        taken = sum(
            copy.state is not CopyState.READY or bool(in_use.get(key)) or key in wanted
            for key, copy in self._copies.items()
        )
        pending = sum(key not in self._copies for key in wanted)
        return max(0, self._slots - taken - pending)

    def loading(self, now: float) -> int:
        """Return how many loads are on their way."""
        self._settle(now)
        return sum(c.state is CopyState.LOADING for c in self._copies.values())

    def reset(
        self, held: list[AdapterCopyKey], loading: list[AdapterCopyKey], now: float
    ) -> None:
        """Take an engine's own report over, keeping known demand."""
        before = self._copies
        self._copies = {}
        for key in held:
            known = before.get(key)
            self._copies[key] = known or HeldCopy(CopyState.READY, now, demand_at=now)
            self._copies[key].state = CopyState.READY
            self._copies[key].ready_at = min(self._copies[key].ready_at, now)
        for key in loading:
            known = before.get(key) or HeldCopy(
                CopyState.LOADING, now + _SETTLE_SECONDS, demand_at=now
            )
            known.state = CopyState.LOADING
            known.ready_at = max(known.ready_at, now)
            self._copies[key] = known

    def begin_load(self, key: AdapterCopyKey, ready_at: float, now: float) -> None:
        """Note an accepted load; an older version of the adapter makes way."""
        for other in [k for k in self._copies if k.key == key.key and k != key]:
            del self._copies[other]
        copy = HeldCopy(CopyState.LOADING, ready_at, demand_at=now, used_at=now)
        copy.note_use(1.0, now)
        self._copies[key] = copy

    def remove(self, key: AdapterCopyKey) -> None:
        """Note that a copy has gone."""
        self._copies.pop(key, None)

    def begin_unload(self, key: AdapterCopyKey) -> None:
        """Note an unload that waits for running requests."""
        if key in self._copies:
            self._copies[key].state = CopyState.UNLOADING

    def older_version(self, key: AdapterCopyKey) -> AdapterCopyKey | None:
        """Return another version of the adapter that is held."""
        for other in self._copies:
            if other.key == key.key and other != key:
                return other
        return None

    def victim(
        self,
        in_use: Mapping[AdapterCopyKey, int],
        wanted: set[AdapterCopyKey],
        newest: Mapping[AdapterKey, int],
        now: float,
    ) -> AdapterCopyKey | None:
        """Return the copy to unload, outdated versions first."""
        self._settle(now)
        idle = [
            key
            for key, copy in self._copies.items()
            if copy.state is CopyState.READY
            and not in_use.get(key)
            and key not in wanted
            and now - copy.ready_at >= _SETTLE_SECONDS
        ]
        return min(idle, key=lambda key: self._value(key, newest, now), default=None)

    def _value(
        self, key: AdapterCopyKey, newest: Mapping[AdapterKey, int], now: float
    ) -> tuple[bool, float, float, AdapterCopyKey]:
        copy = self._copies[key]
        is_current = key.version >= newest.get(key.key, 0)
        return is_current, copy.demand_now(now), copy.used_at, key

    def _settle(self, now: float) -> None:
        for copy in self._copies.values():
            if copy.state is CopyState.LOADING and copy.ready_at <= now:
                copy.state = CopyState.READY
