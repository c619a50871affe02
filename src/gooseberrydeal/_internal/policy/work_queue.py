"""Order the requests that wait for one server."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from gooseberrydeal._internal.models.ids import CallerName, ClassName
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.policy.class_share import ClassShare

IsEligible = Callable[[WorkItem], bool]
ShareOf = Callable[[ClassName], ClassShare]

_MIN_CHARGED_SLOT_SECONDS: Final = 0.001


@dataclass(slots=True)
class _ClassQueue:
    callers: "OrderedDict[CallerName, deque[WorkItem]]" = field(
        default_factory=OrderedDict
    )
    virtual_time: float = 0.0
    caller_virtual_times: Counter[CallerName] = field(default_factory=Counter)


class WorkQueue:
    """Share a server between work classes by weight, and between callers evenly.

    This is weighted fair queueing. Each class and each caller within a class has a
    virtual time: the slot-seconds it has been charged, divided by its weight (1 for
    callers). The lowest virtual time is served first. When a class or caller becomes
    active, its virtual time is raised to the lowest of those already waiting, so that
    idle time earns no credit.

    Items that have waited longer than their class's aging time precede all others,
    oldest first. No class exceeds its maximum number of running items.
    """

    def __init__(self, share_of: ShareOf) -> None:
        self._share_of = share_of
        self._classes: dict[ClassName, _ClassQueue] = {}
        self._running: Counter[ClassName] = Counter()
        self._count = 0
        self._slot_seconds = 0.0

    @property
    def count(self) -> int:
        """Return the number of waiting items."""
        return self._count

    @property
    def slot_seconds(self) -> float:
        """Return the estimated slot-seconds of all waiting items."""
        return max(0.0, self._slot_seconds)

    def items(self) -> Iterator[WorkItem]:
        """Yield all waiting items."""
        for queue in self._classes.values():
            for waiting in queue.callers.values():
                yield from waiting

    def waiting_slot_seconds(self, importance: int) -> float:
        """Return the slot-seconds of waiting items of at least this importance."""
        return sum(i.slot_seconds for i in self.items() if i.importance >= importance)

    def push(self, item: WorkItem) -> None:
        """Add a waiting item."""
        queue = self._classes.get(item.work_class)
        if queue is None:
            queue = self._classes[item.work_class] = _ClassQueue()
        if not queue.callers:
            queue.virtual_time = max(queue.virtual_time, self._min_virtual_time())
        if item.caller not in queue.callers:
            queue.callers[item.caller] = deque()
            floor = self._min_caller_virtual_time(queue, item.caller)
            virtual_time = queue.caller_virtual_times[item.caller]
            queue.caller_virtual_times[item.caller] = max(virtual_time, floor)  # type: ignore[assignment]
        queue.callers[item.caller].append(item)
        self._count += 1
        self._slot_seconds += item.slot_seconds

    def pop(self, now: float, eligible: IsEligible) -> WorkItem | None:
        """Remove and return the item to start next, or ``None`` if none is eligible."""
        item = self._oldest_aged(now, eligible) or self._next_fair(eligible)
        if item is None:
            return None
        self.remove(item)
        self._charge(item)
        self._running[item.work_class] += 1
        return item

    def remove(self, item: WorkItem) -> bool:
        """Remove a waiting item; return whether it was in the queue."""
        queue = self._classes.get(item.work_class)
        waiting = queue.callers.get(item.caller) if queue is not None else None
        if queue is None or waiting is None or item not in waiting:
            return False
        waiting.remove(item)
        if not waiting:
            del queue.callers[item.caller]
            self._reset_caller_times_if_empty(queue)
        self._count -= 1
        self._slot_seconds -= item.slot_seconds
        return True

    def finished(self, item: WorkItem) -> None:
        """Record that a started item no longer runs."""
        self._running[item.work_class] -= 1

    def _oldest_aged(self, now: float, eligible: IsEligible) -> WorkItem | None:
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

    def _next_fair(self, eligible: IsEligible) -> WorkItem | None:
        for name in sorted(self._classes, key=lambda n: self._classes[n].virtual_time):
            if self._running[name] >= self._share_of(name).max_running:
                continue
            queue = self._classes[name]
            for caller in sorted(
                queue.callers, key=queue.caller_virtual_times.__getitem__
            ):
                for item in queue.callers[caller]:
                    if eligible(item):
                        return item
        return None

    def _charge(self, item: WorkItem) -> None:
        cost = max(item.slot_seconds, _MIN_CHARGED_SLOT_SECONDS)
        queue = self._classes[item.work_class]
        queue.virtual_time += cost / self._share_of(item.work_class).weight
        queue.caller_virtual_times[item.caller] += cost  # type: ignore[assignment]

    def _min_virtual_time(self) -> float:
        busy = [queue.virtual_time for queue in self._classes.values() if queue.callers]
        return min(busy, default=0.0)

    def _min_caller_virtual_time(self, queue: _ClassQueue, caller: CallerName) -> float:
        others = [
            queue.caller_virtual_times[name] for name in queue.callers if name != caller
        ]
        return min(others, default=0.0)

    def _reset_caller_times_if_empty(self, queue: _ClassQueue) -> None:
        if not queue.callers:
            queue.caller_virtual_times.clear()
