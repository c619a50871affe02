"""Keep the slot table of an engine consistent with the engine's state."""

from typing import Final

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.copy_state import CopyState
from gooseberrydeal._internal.models.engine_state import EngineState
from gooseberrydeal._internal.models.ids import FencingNumber
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.policy.slot_table import SlotCopy, SlotTable
from gooseberrydeal._internal.utils.clock import Clock

_EPOCH_SEPARATOR: Final = "~"
_MAX_REPORT_LAG_SECONDS: Final = 3.0


class EngineSlots(SlotTable):
    """Distinguish own copies from those that an earlier owner of the server loaded.

    A foreign copy, that is one of an earlier owner, occupies a slot but is neither
    used nor evicted until that owner has released the server or its process is known
    to be gone: the owner may still run requests on the copy or be about to unload it.
    An adopted copy is used at once, but evicted only after the engine has reported it
    idle for longer than ``_MAX_REPORT_LAG_SECONDS``, as its reports may be outdated.
    """

    def __init__(self, slots: int, epoch: FencingNumber, clock: Clock) -> None:
        super().__init__(slots)
        self._epoch = epoch
        self._clock = clock
        self._may_adopt = False
        self._evictable_from: dict[str, float] = {}

    @property
    def has_foreign(self) -> bool:
        """Return whether slots are occupied by copies of an earlier owner."""
        return any(copy.state is CopyState.FOREIGN for copy in self.copies)

    def copy_reports(self, pending: list[AdapterRef]) -> tuple[CopyReport, ...]:
        """Return the copies that are loaded or loading, and those of pending loads."""
        present = [
            CopyReport(
                copy.adapter.name,
                copy.adapter.version,
                copy.state is CopyState.READY,
            )
            for copy in self.copies
            if copy.adapter is not None
            and copy.state in (CopyState.READY, CopyState.LOADING)
        ]
        expected = [
            CopyReport(item.name, item.version, is_ready=False) for item in pending
        ]
        return tuple(present + expected)

    def allow_adoption(self) -> None:
        """Adopt foreign copies, since no earlier owner can send orders any more."""
        self._may_adopt = True
        for copy in self.copies:
            if copy.state is CopyState.FOREIGN:
                copy.state = CopyState.READY
                self._defer_eviction(copy.name)

    def reconcile(self, state: EngineState, changes_before: int) -> bool:
        """Update the table from the engine's state; return whether it was current.

        ``changes_before`` is the value of :attr:`changes` when the state was requested.
        If the slots have changed since, the state is ignored: it may or may not show
        the effect of a load or unload that ended in the meantime.
        """
        if self.changes != changes_before:
            return False
        for copy in self.copies:
            is_loaded = copy.state in (CopyState.READY, CopyState.FOREIGN)
            if is_loaded and copy.name not in state.copies:
                self.remove(copy.name)
        for name in state.copies:
            known = self.get(name)
            if known is None:
                self.add(
                    name, AdapterRef.from_copy_name(name), self._initial_state(name)
                )
                if not self._is_own(name):
                    self._defer_eviction(name)
            elif not self._is_own(name) and state.running.get(name, 0) > known.in_use:
                self._defer_eviction(name)
        return True

    def _is_evictable(self, copy: SlotCopy) -> bool:
        if self._clock.monotonic() < self._evictable_from.get(copy.name, 0.0):
            return False
        return super()._is_evictable(copy)

    def _defer_eviction(self, name: str) -> None:
        """Protect a copy on which requests of an earlier owner may still run."""
        self._evictable_from[name] = self._clock.monotonic() + _MAX_REPORT_LAG_SECONDS

    def _initial_state(self, name: str) -> CopyState:
        if self._is_own(name) or self._may_adopt:
            return CopyState.READY
        return CopyState.FOREIGN

    def _is_own(self, name: str) -> bool:
        return name.endswith(f"{_EPOCH_SEPARATOR}{self._epoch}")
