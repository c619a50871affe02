"""Test that the work queue is fair and starves no request."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gooseberrydeal._internal.models.ids import ClassName
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.policy.class_share import ClassShare
from gooseberrydeal._internal.policy.work_queue import WorkQueue
from tests.lib.builders import work_item

_SHARES = {
    "short": ClassShare(weight=4.0, max_running=8, aging_seconds=10.0),
    "long": ClassShare(weight=1.0, max_running=2, aging_seconds=10.0),
}


def _share(name: ClassName) -> ClassShare:
    return _SHARES[name]


class QueueMachine(RuleBasedStateMachine):
    """Push, pop, finish and withdraw work items in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = WorkQueue(_share)
        self.now = 0.0
        self.waiting: dict[str, WorkItem] = {}
        self.running: list[WorkItem] = []
        self.number = 0

    @rule(
        caller=st.sampled_from(["c1", "c2", "c3"]),
        name=st.sampled_from(["short", "long"]),
        cost=st.floats(0.1, 20.0),
    )
    def push(self, caller: str, name: str, cost: float) -> None:
        self.number += 1
        item = work_item(
            f"r{self.number}", caller, name, arrived=self.now, slot_seconds=cost
        )
        self.waiting[item.request_id] = item
        self.queue.push(item)

    @rule()
    def pop(self) -> None:
        aged = [
            i
            for i in self.waiting.values()
            if self.now - i.arrived >= _SHARES[i.work_class].aging_seconds
            and self._count(i.work_class) < _SHARES[i.work_class].max_running
        ]
        item = self.queue.pop(self.now, lambda item: True)
        if item is None:
            free = [
                n
                for n in _SHARES
                if self._count(n) < _SHARES[n].max_running
                and any(i.work_class == n for i in self.waiting.values())
            ]
            assert not free
            return
        if aged:
            assert item.arrived <= min(i.arrived for i in aged) + 1e-9
        del self.waiting[item.request_id]
        self.running.append(item)

    @rule()
    def finish(self) -> None:
        if self.running:
            self.queue.finished(self.running.pop())

    @rule()
    def withdraw(self) -> None:
        if self.waiting:
            _, item = self.waiting.popitem()
            assert self.queue.remove(item)

    @rule(seconds=st.floats(0.1, 8.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    def _count(self, name: str) -> int:
        return sum(1 for item in self.running if item.work_class == name)

    @invariant()
    def queue_holds_all_waiting_items(self) -> None:
        assert {i.request_id for i in self.queue.items()} == set(self.waiting)
        assert self.queue.count == len(self.waiting)

    @invariant()
    def class_limits_hold(self) -> None:
        for name, share in _SHARES.items():
            assert self._count(name) <= share.max_running


TestWorkQueue = QueueMachine.TestCase


def test_caller_with_little_work_need_not_wait_for_a_busy_one() -> None:
    queue = WorkQueue(_share)
    for number in range(10):
        queue.push(work_item(f"greedy{number}", "greedy", slot_seconds=1.0))
    queue.push(work_item("modest", "modest", slot_seconds=1.0))
    first_three = [queue.pop(0.0, lambda item: True) for _ in range(3)]
    assert "modest" in [item.request_id for item in first_three if item]


def test_classes_share_by_weight() -> None:
    queue = WorkQueue(_share)
    for number in range(40):
        queue.push(work_item(f"s{number}", work_class="short"))
        queue.push(work_item(f"l{number}", work_class="long"))
    taken = []
    for _ in range(20):
        item = queue.pop(0.0, lambda item: True)
        assert item is not None
        taken.append(item.work_class)
        queue.finished(item)
    assert taken.count(ClassName("short")) == 16


def test_class_limit_leaves_slots_for_other_classes() -> None:
    queue = WorkQueue(_share)
    for number in range(8):
        queue.push(work_item(f"l{number}", work_class="long"))
    started = [queue.pop(0.0, lambda item: True) for _ in range(8)]
    assert sum(item is not None for item in started) == 2


def test_aged_work_starts_before_work_of_a_heavier_class() -> None:
    queue = WorkQueue(_share)
    for number in range(3):
        queue.push(work_item(f"l{number}", work_class="long", slot_seconds=50.0))
        first = queue.pop(0.0, lambda item: True)
        assert first is not None
        queue.finished(first)
    queue.push(work_item("new", work_class="short", arrived=19.0))
    queue.push(work_item("old", work_class="long", arrived=0.0))
    item = queue.pop(20.0, lambda item: True)
    assert item is not None
    assert item.request_id == "old"
