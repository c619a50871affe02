"""Track the adapter copies in an engine's slots and select eviction victims."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.copy_state import CopyState

AdapterValue = Callable[[AdapterRef], float]


@dataclass(slots=True)
class SlotCopy:
    """Hold the state of one adapter copy on the engine.

    ``name`` is the copy's name on the engine; ``adapter`` is ``None`` if that name is
    unknown. ``in_use`` is the number of running requests, ``last_used`` in monotonic
    seconds.
    """

    name: str
    adapter: AdapterRef | None
    state: CopyState
    in_use: int = 0
    last_used: float = 0.0


class SlotTable:
    """Count the requests that use or await each adapter.

    A copy that is in use or awaited is never selected for eviction.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._copies: dict[str, SlotCopy] = {}
        self._reserved: Counter[AdapterRef] = Counter()
        self._changes = 0

    @property
    def changes(self) -> int:
        """Return a counter that increases with every change to the copies."""
        return self._changes

    @property
    def copies(self) -> list[SlotCopy]:
        """Return all copies on the engine, in any state."""
        return list(self._copies.values())

    @property
    def free(self) -> int:
        """Return the number of empty slots."""
        return max(0, self._slots - len(self._copies))

    def ready_copy(self, adapter: AdapterRef) -> SlotCopy | None:
        """Return a copy that is ready to serve an adapter, or ``None``."""
        return self._find(adapter, CopyState.READY)

    def is_loading(self, adapter: AdapterRef) -> bool:
        """Return whether a load of the adapter is in progress."""
        return self._find(adapter, CopyState.LOADING) is not None

    def reserve(self, adapter: AdapterRef) -> None:
        """Record that a queued request waits for an adapter."""
        self._reserved[adapter] += 1

    def release(self, adapter: AdapterRef) -> None:
        """Record that a request no longer waits for an adapter."""
        self._reserved[adapter] -= 1
        if self._reserved[adapter] <= 0:
            del self._reserved[adapter]

    def reserved(self, adapter: AdapterRef) -> int:
        """Return the number of queued requests that wait for an adapter."""
        return self._reserved.get(adapter, 0)

    @staticmethod
    def begin_use(copy: SlotCopy, now: float) -> None:
        """Record that a request has started on a copy."""
        copy.in_use += 1
        copy.last_used = now

    @staticmethod
    def end_use(copy: SlotCopy, now: float) -> None:
        """Record that a request has ended on a copy.

        Takes the copy itself rather than its name, since another copy of the same name
        may have been loaded in the meantime.
        """
        copy.in_use -= 1
        copy.last_used = now

    def victim(self, value: AdapterValue) -> SlotCopy | None:
        """Return the evictable copy of lowest value, or ``None`` if there is none.

        Among copies of equal value, the least recently used one is returned.
        """
        idle = [copy for copy in self._copies.values() if self._is_evictable(copy)]
        return min(
            idle,
            key=lambda copy: (self._copy_value(copy, value), copy.last_used),
            default=None,
        )

    def victim_value(self, value: AdapterValue) -> float | None:
        """Return the value of the copy that the next load would evict.

        Returns 0 if a slot is free, and ``None`` if no copy may be evicted.
        """
        if self.free > 0:
            return 0.0
        copy = self.victim(value)
        return None if copy is None else self._copy_value(copy, value)

    def add(self, name: str, adapter: AdapterRef | None, state: CopyState) -> SlotCopy:
        """Add a copy in the given state, and return it."""
        self._changes += 1
        copy = SlotCopy(name, adapter, state)
        self._copies[name] = copy
        return copy

    def set_state(self, name: str, state: CopyState, now: float) -> None:
        """Set the state of a copy; an unknown name is ignored."""
        self._changes += 1
        copy = self._copies.get(name)
        if copy is not None:
            copy.state = state
            copy.last_used = now

    def remove(self, name: str) -> None:
        """Remove a copy from its slot; an unknown name is ignored."""
        self._changes += 1
        self._copies.pop(name, None)

    def get(self, name: str) -> SlotCopy | None:
        """Return the copy of that name on the engine, or ``None``."""
        return self._copies.get(name)

    def _find(self, adapter: AdapterRef, state: CopyState) -> SlotCopy | None:
        for copy in self._copies.values():
            if copy.adapter == adapter and copy.state is state:
                return copy
        return None

    def _is_evictable(self, copy: SlotCopy) -> bool:
        if copy.state is not CopyState.READY or copy.in_use > 0:
            return False
        return copy.adapter is None or self.reserved(copy.adapter) == 0

    def _copy_value(self, copy: SlotCopy, value: AdapterValue) -> float:
        return 0.0 if copy.adapter is None else value(copy.adapter)
