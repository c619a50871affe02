"""Decide when a waiting request is refused."""

from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_item import WorkItem

_MAX_SLOT_WAIT_SECONDS: Final = 1.0
_RETRY_AFTER_SECONDS: Final = 1.0


def overdue_refusal(
    item: WorkItem, now: float, can_obtain_slot: Callable[[WorkItem], bool]
) -> Refusal | None:
    """Return why a waiting item must be refused, or ``None`` to let it wait.

    An item is refused after its deadline. One that cannot get an adapter slot on this
    server within a short time is refused too, as another server may have a free slot.
    """
    if item.deadline <= now:
        return Refusal(RefusalReason.DEADLINE, Ran.NO)
    if now - item.arrived <= _MAX_SLOT_WAIT_SECONDS or can_obtain_slot(item):
        return None
    return Refusal(
        RefusalReason.OVERLOADED, Ran.NO, "no adapter slot", _RETRY_AFTER_SECONDS
    )
