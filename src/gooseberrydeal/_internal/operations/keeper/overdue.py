"""Decide when waiting any longer is of no use."""

from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_item import WorkItem

_NO_SLOT_SECONDS: Final = 1.0
_RETRY_AFTER_SECONDS: Final = 1.0


def overdue_refusal(
    item: WorkItem, now: float, can_ever_start: Callable[[WorkItem], bool]
) -> Refusal | None:
    """Return why a waiting item is refused now, if so.

    Work that can't get an adapter slot here goes back, for another server may have
    one.
    """
    if item.deadline <= now:
        return Refusal(RefusalReason.DEADLINE, Ran.NO)
    if now - item.arrived <= _NO_SLOT_SECONDS or can_ever_start(item):
        return None
    return Refusal(
        RefusalReason.OVERLOADED, Ran.NO, "no adapter slot", _RETRY_AFTER_SECONDS
    )
