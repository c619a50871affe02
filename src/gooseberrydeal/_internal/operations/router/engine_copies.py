"""Hold what this host knows of the adapter copies on one engine."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import CopyStatus
from gooseberrydeal._internal.policy.loads.warm_copies import WarmCopies

# Adapter copies that an engine may still cache in its memory; the least recently held
# ones are dropped first.
_MAX_RECENT_COPIES: Final = 96
# How long after the end of a load a copy that was missing is still remembered.
_MISSING_RETENTION_SECONDS: Final = 1.0
# An entry may be older than the last status and lacks adapters that are being loaded,
# so copies of that status are kept for longer than it takes until another host tells of
# the engine after its owner fell silent: the owner's lease of 9 s, a poll of the store.
_STATED_RETENTION_SECONDS: Final = 12.0


class EngineCopies:
    """Keep the state of each copy, and which copies the engine held recently."""

    def __init__(self) -> None:
        self._copies: dict[AdapterCopyKey, tuple[CopyState, float]] = {}
        self._stated: tuple[CopyStatus, ...] | None = None
        self._last_stated: dict[AdapterCopyKey, tuple[CopyState, float]] = {}
        self._stated_at = -math.inf
        self._missing: dict[AdapterCopyKey, float] = {}
        self._recent: OrderedDict[AdapterCopyKey, None] = OrderedDict()
        self._warm: WarmCopies | None = None

    def __contains__(self, key: AdapterCopyKey) -> bool:
        """Return whether the engine holds a copy, or is loading or unloading it."""
        return key in self._copies

    def clear(self) -> None:
        """Forget all copies, since the engine has started again."""
        self._copies = {}
        self._stated = None
        self._last_stated = {}
        self._recent.clear()
        self._warm = None

    def use_entry(self, adapters: Iterable[AdapterCopyKey], now: float) -> None:
        """Use the copies in the engine's entry, and those of a status before it."""
        listed = dict.fromkeys(adapters, (CopyState.READY, now))
        if now - self._stated_at < _STATED_RETENTION_SECONDS:
            self._copies = {**self._last_stated, **listed}
        else:
            self._copies = listed
        self._stated = None

    def use_status(self, copies: tuple[CopyStatus, ...], now: float) -> None:
        """Use the copies in a status of the engine's owner."""
        self._stated_at = now
        if copies == self._stated:
            return
        self._copies = {copy.key: (copy.state, now + copy.ready_in) for copy in copies}
        self._last_stated = self._copies
        # The time until a copy is ready counts from each status anew.
        are_ready = all(copy.state is CopyState.READY for copy in copies)
        self._stated = copies if are_ready else None
        for key in self._copies:
            self._recent[key] = None
            self._recent.move_to_end(key)
        while len(self._recent) > _MAX_RECENT_COPIES:
            self._recent.popitem(last=False)

    def use_warm_copies(self, data: bytes) -> None:
        """Use the owner's summary of the copies that the engine can load fast."""
        if data:
            self._warm = WarmCopies.decode(data)

    def state(self, key: AdapterCopyKey, now: float) -> CopyState | None:
        """Return the state of a copy, ``None`` if the engine does not hold it."""
        found = self._copies.get(key)
        if found is None:
            return None
        state, ready_at = found
        if self._missing and self._missing.get(key, 0.0) > now:
            return CopyState.LOADING
        if state is CopyState.LOADING and ready_at <= now:
            return CopyState.READY
        return state

    def ready_in(self, key: AdapterCopyKey, now: float) -> float:
        """Return the seconds until a copy is ready, 0 if it is ready or not held."""
        found = self._copies.get(key)
        ready_at = 0.0 if found is None else found[1]
        return max(0.0, ready_at - now, self._missing.get(key, 0.0) - now)

    def is_warm(self, key: AdapterCopyKey) -> bool:
        """Return whether the engine held the copy recently and so reloads it fast."""
        if self._warm is not None:
            return key in self._warm
        return key in self._recent

    def versions(self, model: str, adapter: str) -> list[AdapterCopyKey]:
        """Return the copies of all versions of an adapter that the engine holds."""
        return [k for k in self._copies if k.adapter == adapter and k.model == model]

    def note_missing(self, key: AdapterCopyKey, until: float) -> None:
        """Treat a copy that the engine denied having as loading until ``until``."""
        self._missing[key] = until

    def note_present(self, key: AdapterCopyKey) -> None:
        """Record that the engine started a request on a copy."""
        self._missing.pop(key, None)

    def is_missing(self, key: AdapterCopyKey) -> bool:
        """Return whether the engine denied having a copy a short time ago."""
        return key in self._missing

    def drop_old_missing(self, now: float) -> None:
        """Forget copies that were missing some time ago."""
        oldest = now - _MISSING_RETENTION_SECONDS
        for key in [k for k, until in self._missing.items() if until < oldest]:
            del self._missing[key]
