"""Order the work that waits for one server."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.ids import CallerName, ClassName
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.policy.class_share import ClassShare

Eligible = Callable[[WorkItem], bool]
ShareOf = Callable[[ClassName], ClassShare]

_MIN_SLOT_SECONDS: Final = 0.001


@dataclass(slots=True)
class _ClassQueue:
    callers: "OrderedDict[CallerName, deque[WorkItem]]" = field(
        default_factory=OrderedDict
    )
    served: float = 0.0
    caller_served: Counter[CallerName] = field(default_factory=Counter)


class WorkQueue:
    """Share a server between classes by weight and between callers evenly.

    Each class and each caller has a virtual time, the slot-seconds that it was
    served divided by its weight; the smallest goes first. Work that has waited
    longer than its class's aging time goes before all other, the oldest first,
    within the class's bound on running slots.
    """

    def __init__(self, share_of: ShareOf) -> None:
        self._share_of = share_of
        self._classes: dict[ClassName, _ClassQueue] = {}
        self._running: Counter[ClassName] = Counter()
        self._count = 0
        self._slot_seconds = 0.0

    @property
    def count(self) -> int:
        """Return how many items wait."""
        return self._count

    @property
    def slot_seconds(self) -> float:
        """Return the estimated work that waits."""
        return max(0.0, self._slot_seconds)

    def items(self) -> Iterator[WorkItem]:
        """Yield all waiting items."""
        for queue in self._classes.values():
            for waiting in queue.callers.values():
                yield from waiting

    def seconds_before(self, importance: int) -> float:
        """Return the waiting slot-seconds that are at least that important."""
        return sum(i.slot_seconds for i in self.items() if i.importance >= importance)

    def push(self, item: WorkItem) -> None:
        """Add an item."""
        queue = self._classes.get(item.work_class)
        if queue is None:
            queue = self._classes[item.work_class] = _ClassQueue()
        if not queue.callers:
            queue.served = max(queue.served, self._least_served())
        if item.caller not in queue.callers:
            queue.callers[item.caller] = deque()
            floor = self._least_caller_served(queue, item.caller)
            served = queue.caller_served[item.caller]
            queue.caller_served[item.caller] = max(served, floor)  # type: ignore[assignment]
        queue.callers[item.caller].append(item)
        self._count += 1
        self._slot_seconds += item.slot_seconds

    def pop(self, now: float, eligible: Eligible) -> WorkItem | None:
        """Remove and return the item to start next, if one is eligible."""
        item = self._aged(now, eligible) or self._fair(eligible)
        if item is None:
            return None
        self.remove(item)
        self._charge(item)
        self._running[item.work_class] += 1
        return item

    def remove(self, item: WorkItem) -> bool:
        """Remove an item that no longer waits."""
        queue = self._classes.get(item.work_class)
        waiting = queue.callers.get(item.caller) if queue is not None else None
        if queue is None or waiting is None or item not in waiting:
            return False
        waiting.remove(item)
        if not waiting:
            del queue.callers[item.caller]
            self._forget_idle_callers(queue)
        self._count -= 1
        self._slot_seconds -= item.slot_seconds
        return True

    def finished(self, item: WorkItem) -> None:
        """Note that a started item no longer runs."""
        self._running[item.work_class] -= 1

    def _aged(self, now: float, eligible: Eligible) -> WorkItem | None:
        oldest: WorkItem | None = None
        for name, queue in self._classes.items():
            share = self._share_of(name)
            if self._running[name] >= share.max_running:
                continue
            for waiting in queue.callers.values():
                item = next((i for i in waiting if eligible(i)), None)
                if item is None or now - item.arrived < share.aging_seconds:
                    continue
                if oldest is None or item.arrived < oldest.arrived:
                    oldest = item
        return oldest

    def _fair(self, eligible: Eligible) -> WorkItem | None:
        for name in sorted(self._classes, key=lambda n: self._classes[n].served):
            if self._running[name] >= self._share_of(name).max_running:
                continue
            queue = self._classes[name]
            for caller in sorted(queue.callers, key=queue.caller_served.__getitem__):
                for item in queue.callers[caller]:
                    if eligible(item):
                        return item
        return None

    def _charge(self, item: WorkItem) -> None:
        cost = max(item.slot_seconds, _MIN_SLOT_SECONDS)
        queue = self._classes[item.work_class]
        queue.served += cost / self._share_of(item.work_class).weight
        queue.caller_served[item.caller] += cost  # type: ignore[assignment]

    def _least_served(self) -> float:
        busy = [queue.served for queue in self._classes.values() if queue.callers]
        return min(busy, default=0.0)

    def _least_caller_served(self, queue: _ClassQueue, caller: CallerName) -> float:
        others = [queue.caller_served[name] for name in queue.callers if name != caller]
        return min(others, default=0.0)

    def _forget_idle_callers(self, queue: _ClassQueue) -> None:
        if not queue.callers:
            queue.caller_served.clear()
