"""Decide what an engine's adapter slots hold."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.copy_state import CopyState

Value = Callable[[AdapterRef], float]


@dataclass(slots=True)
class SlotCopy:
    """Hold the state of one copy; ``adapter`` is ``None`` for an unknown name."""

    name: str
    adapter: AdapterRef | None
    state: CopyState
    in_use: int = 0
    last_used: float = 0.0


class SlotTable:
    """Count the use of each copy exactly, and never offer a used one for eviction."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._copies: dict[str, SlotCopy] = {}
        self._reserved: Counter[AdapterRef] = Counter()
        self._changes = 0

    @property
    def changes(self) -> int:
        """Return how often a copy was added, removed or changed its state."""
        return self._changes

    @property
    def copies(self) -> list[SlotCopy]:
        """Return every copy on the engine."""
        return list(self._copies.values())

    @property
    def free(self) -> int:
        """Return how many slots hold nothing."""
        return max(0, self._slots - len(self._copies))

    def ready_copy(self, adapter: AdapterRef) -> SlotCopy | None:
        """Return the copy that may serve an adapter."""
        return self._find(adapter, CopyState.READY)

    def is_loading(self, adapter: AdapterRef) -> bool:
        """Return whether a load of the adapter is in progress."""
        return self._find(adapter, CopyState.LOADING) is not None

    def reserve(self, adapter: AdapterRef) -> None:
        """Note that queued work waits for an adapter."""
        self._reserved[adapter] += 1

    def release(self, adapter: AdapterRef) -> None:
        """Note that work waits no longer."""
        self._reserved[adapter] -= 1
        if self._reserved[adapter] <= 0:
            del self._reserved[adapter]

    def reserved(self, adapter: AdapterRef) -> int:
        """Return how much queued work waits for an adapter."""
        return self._reserved.get(adapter, 0)

    @staticmethod
    def begin_use(copy: SlotCopy, now: float) -> None:
        """Note that a request runs on a copy."""
        copy.in_use += 1
        copy.last_used = now

    @staticmethod
    def end_use(copy: SlotCopy, now: float) -> None:
        """Note that a request has left a copy.

        The copy itself is counted, not its name, since one of the same name may have
        been loaded meanwhile.
        """
        copy.in_use -= 1
        copy.last_used = now

    def victim(self, value: Value) -> SlotCopy | None:
        """Return the idle copy of the least value, if any may be evicted."""
        idle = [copy for copy in self._copies.values() if self._is_evictable(copy)]
        return min(
            idle,
            key=lambda copy: (self._value(copy, value), copy.last_used),
            default=None,
        )

    def victim_value(self, value: Value) -> float | None:
        """Return what the next eviction costs: 0 for a free slot, ``None`` if none."""
        if self.free > 0:
            return 0.0
        copy = self.victim(value)
        return None if copy is None else self._value(copy, value)

    def add(self, name: str, adapter: AdapterRef | None, state: CopyState) -> SlotCopy:
        """Put a copy into a slot."""
        self._changes += 1
        copy = SlotCopy(name, adapter, state)
        self._copies[name] = copy
        return copy

    def mark(self, name: str, state: CopyState, now: float) -> None:
        """Change the state of a copy."""
        self._changes += 1
        copy = self._copies.get(name)
        if copy is not None:
            copy.state = state
            copy.last_used = now

    def remove(self, name: str) -> None:
        """Empty the slot of a copy."""
        self._changes += 1
        self._copies.pop(name, None)

    def get(self, name: str) -> SlotCopy | None:
        """Return a copy by its name."""
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

    def _value(self, copy: SlotCopy, value: Value) -> float:
        return 0.0 if copy.adapter is None else value(copy.adapter)
