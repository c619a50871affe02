"""Describe the adapter load that a waiting request has requested."""

from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.server_record import ServerRecord

# A load that takes longer than this is taken to have failed.
LOAD_TIMEOUT_SECONDS: Final = 1.2


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """Hold the engine, the copy to load and when the load was requested.

    ``is_queued`` is true if the engine had no free slot at that time.
    """

    record: ServerRecord
    copy: AdapterCopyKey
    requested_at: float
    is_queued: bool

    def is_overdue(self, now: float) -> bool:
        """Return whether the load took so long that another engine is tried."""
        return now - self.requested_at >= LOAD_TIMEOUT_SECONDS

    def yields_to(self, proposed: "PendingLoad", now: float) -> bool:
        """Return whether a proposed load is requested instead.

        A load is kept until it times out or its engine's owner no longer accepts loads.
        If it is queued, it is given up for an engine with a free slot.
        """
        is_same_copy = self.copy == proposed.copy
        if is_same_copy and self.record is proposed.record:
            return False
        can_still_load = is_same_copy and self.record.owner.accepts_load_orders(now)
        gains_free_slot = self.is_queued and not proposed.is_queued
        return self.is_overdue(now) or not can_still_load or gains_free_slot
