"""Keep the slot table of one engine in step with the engine."""

from typing import Final

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.copy_state import CopyState
from gooseberrydeal._internal.models.engine_state import EngineState
from gooseberrydeal._internal.models.ids import FencingNumber
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.policy.slot_table import SlotCopy, SlotTable
from gooseberrydeal._internal.utils.clock import Clock

_SEPARATOR: Final = "~"
_REPORT_LAG_SECONDS: Final = 3.0


class EngineSlots(SlotTable):
    """Tell own copies from those of an earlier owner.

    A foreign copy takes a slot but is neither used nor evicted until its owner has
    given it up or is provably gone, for that owner may still be running on it or
    about to unload it. Once adopted it is used at once, but evicted only after the
    engine has shown it idle for longer than its reports lag.
    """

    def __init__(self, slots: int, epoch: FencingNumber, clock: Clock) -> None:
        super().__init__(slots)
        self._epoch = epoch
        self._clock = clock
        self._may_adopt = False
        self._busy_until: dict[str, float] = {}

    @property
    def has_foreign(self) -> bool:
        """Return whether copies of an earlier owner are in the way."""
        return any(copy.state is CopyState.FOREIGN for copy in self.copies)

    def copy_reports(self, wanted: list[AdapterRef]) -> tuple[CopyReport, ...]:
        """Return the copies that may serve, now or after the loads that are wanted."""
        held = [
            CopyReport(
                copy.adapter.name,
                copy.adapter.version,
                copy.state is CopyState.READY,
            )
            for copy in self.copies
            if copy.adapter is not None
            and copy.state in (CopyState.READY, CopyState.LOADING)
        ]
        awaited = [
            CopyReport(item.name, item.version, is_ready=False) for item in wanted
        ]
        return tuple(held + awaited)

    def allow_adoption(self) -> None:
        """Note that no earlier owner can give orders any more."""
        self._may_adopt = True
        for copy in self.copies:
            if copy.state is CopyState.FOREIGN:
                copy.state = CopyState.READY
                self._hold(copy.name)

    def reconcile(self, state: EngineState, changes_before: int) -> bool:
        """Take over what the engine says, unless it is out of date.

        A state that was asked for before a load or an unload ended may show either;
        ``changes_before`` is the count of changes when it was asked for.
        """
        if self.changes != changes_before:
            return False
        for copy in self.copies:
            is_settled = copy.state in (CopyState.READY, CopyState.FOREIGN)
            if is_settled and copy.name not in state.copies:
                self.remove(copy.name)
        for name in state.copies:
            known = self.get(name)
            if known is None:
                self.add(name, AdapterRef.from_copy_name(name), self._state_of(name))
                if not self._is_own(name):
                    self._hold(name)
            elif not self._is_own(name) and state.running.get(name, 0) > known.in_use:
                self._hold(name)
        return True

    def _is_evictable(self, copy: SlotCopy) -> bool:
        if self._clock.monotonic() < self._busy_until.get(copy.name, 0.0):
            return False
        return super()._is_evictable(copy)

    def _hold(self, name: str) -> None:
        """Keep a copy on which an earlier owner's requests may still run."""
        self._busy_until[name] = self._clock.monotonic() + _REPORT_LAG_SECONDS

    def _state_of(self, name: str) -> CopyState:
        if self._is_own(name) or self._may_adopt:
            return CopyState.READY
        return CopyState.FOREIGN

    def _is_own(self, name: str) -> bool:
        return name.endswith(f"{_SEPARATOR}{self._epoch}")
