"""Encode and decode the messages by which hosts hand over engines."""

from typing import Any

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.owner_handover import (
    HandoverEngine,
    HandoverStep,
    OwnerHandover,
)
from gooseberrydeal._internal.network import field_range


def handover_fields(handover: OwnerHandover) -> list[Any]:
    """Return the fields of a message, by position."""
    engines = [
        [item.server, item.revision, int(item.last_order_age * 1000)]
        for item in handover.engines
    ]
    return [handover.host, handover.incarnation, int(handover.step), engines]


def parse_handover(fields: list[Any]) -> OwnerHandover:
    """Return a message from its fields.

    Raises one of ``DECODE_ERRORS`` of the crash codec if they are not valid.
    """
    host, incarnation, step, engines = fields[:4]
    return OwnerHandover(
        HostId(str(host)),
        int(incarnation),
        HandoverStep(int(step)),
        tuple(
            HandoverEngine(
                ServerId(str(server)), int(revision), field_range.seconds(milliseconds)
            )
            for server, revision, milliseconds, *_ in engines
        ),
    )
