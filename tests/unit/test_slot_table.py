"""Test that only idle adapter copies are selected for eviction."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gooseberrydeal._internal.models.copy_state import CopyState
from gooseberrydeal._internal.policy.slot_table import SlotTable
from tests.lib.builders import adapter_ref

_SLOTS = 3
_NAMES = st.sampled_from(["a", "b", "c", "d", "e"])


class SlotTableMachine(RuleBasedStateMachine):
    """Load, use, reserve and evict adapter copies in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.table = SlotTable(_SLOTS)
        self.in_use: dict[str, int] = {}
        self.reserved: dict[str, int] = {}

    @rule(name=_NAMES)
    def load(self, name: str) -> None:
        if self.table.ready_copy(adapter_ref(name)) is not None:
            return
        if self.table.free == 0:
            victim = self.table.victim(lambda ref: float(ord(ref.name[0])))
            if victim is None:
                return
            assert self.in_use.get(victim.name, 0) == 0
            assert self.reserved.get(victim.name, 0) == 0
            self.table.remove(victim.name)
        self.table.add(name, adapter_ref(name), CopyState.READY)

    @rule(name=_NAMES)
    def begin(self, name: str) -> None:
        copy = self.table.get(name)
        if copy is not None:
            self.table.begin_use(copy, 0.0)
            self.in_use[name] = self.in_use.get(name, 0) + 1

    @rule(name=_NAMES)
    def end(self, name: str) -> None:
        copy = self.table.get(name)
        if self.in_use.get(name, 0) > 0 and copy is not None:
            self.table.end_use(copy, 0.0)
            self.in_use[name] -= 1

    @rule(name=_NAMES)
    def reserve(self, name: str) -> None:
        self.table.reserve(adapter_ref(name))
        self.reserved[name] = self.reserved.get(name, 0) + 1

    @rule(name=_NAMES)
    def release(self, name: str) -> None:
        if self.reserved.get(name, 0) > 0:
            self.table.release(adapter_ref(name))
            self.reserved[name] -= 1

    @invariant()
    def slot_limit_holds(self) -> None:
        assert len(self.table.copies) <= _SLOTS

    @invariant()
    def used_copies_are_kept(self) -> None:
        for name, count in self.in_use.items():
            if count > 0:
                assert self.table.get(name) is not None


TestSlotTable = SlotTableMachine.TestCase


def test_idle_copy_of_lowest_value_is_evicted_first() -> None:
    table = SlotTable(2)
    table.add("a", adapter_ref("a"), CopyState.READY)
    table.add("b", adapter_ref("b"), CopyState.READY)
    values = {"a": 2.0, "b": 1.0}
    victim = table.victim(lambda ref: values[ref.name])
    assert victim is not None
    assert victim.name == "b"


def test_foreign_and_loading_copies_are_not_evicted() -> None:
    table = SlotTable(2)
    table.add("a", adapter_ref("a"), CopyState.FOREIGN)
    table.add("b", adapter_ref("b"), CopyState.LOADING)
    assert table.victim(lambda ref: 0.0) is None
    assert table.victim_value(lambda ref: 0.0) is None


def test_late_end_of_use_does_not_affect_a_new_copy_of_that_name() -> None:
    table = SlotTable(1)
    old = table.add("a", adapter_ref("a"), CopyState.READY)
    table.begin_use(old, 0.0)
    table.remove("a")
    new = table.add("a", adapter_ref("a"), CopyState.READY)
    table.begin_use(new, 1.0)
    table.end_use(old, 2.0)
    assert table.victim(lambda ref: 0.0) is None
