"""Compare an engine's entry in the metadata store with what its owner expects."""

import logging
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.operations.router.order_sequence import OrderSequence
from gooseberrydeal._internal.policy.adapter_slots import AdapterSlots

logger = logging.getLogger(__name__)

# Entries are usually at most a heartbeat old. They are compared only without orders for
# this long, since each difference costs a read of the engine's report.
_SETTLE_SECONDS: Final = 2.5


class EntryCheck:
    """Tell when an entry gives a reason to read the engine's report.

    An entry may be of any age, and does not list adapters that are being loaded, so a
    difference does not show which side is right. Each entry is compared once.
    """

    def __init__(
        self, sequence: OrderSequence, slots: AdapterSlots, clock: Callable[[], float]
    ) -> None:
        self._sequence = sequence
        self._slots = slots
        self._clock = clock
        self._compared: ServerEntry | None = None

    def differs(self, entry: ServerEntry, started_at: int) -> bool:
        """Return whether an entry shows another state than the expected one.

        ``started_at`` is when the engine is known to have started, in Unix ms.
        """
        is_settled = self._clock() - self._sequence.last_sent_at > _SETTLE_SECONDS
        is_comparable = is_settled and self._sequence.is_count_known
        if not is_comparable or entry == self._compared:
            return False
        self._compared = entry
        held = set() if entry.held is None else set(entry.held.adapters)
        expected = set(self._slots.copies)
        if entry.started_at == started_at and (
            entry.held is None
            or (entry.order_count == self._sequence.count and held == expected)
        ):
            return False
        logger.info(
            "entry differs from the expected state: started at %d, %d orders, %d"
            " adapters, expected %d, %d, %d; reading the engine's report",
            entry.started_at,
            entry.order_count,
            len(held),
            started_at,
            self._sequence.count,
            len(expected),
            extra={"server": entry.id},
        )
        return True
