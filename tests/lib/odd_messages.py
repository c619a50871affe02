"""Build messages between hosts with a value that does not belong there."""

import copy
from typing import Any, Final

import cbor2
from hypothesis import strategies as st

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.network.report_codec import Report, decode_report

# Numbers of the values in a message; beyond the last one they begin anew.
PLACES: Final = st.integers(0, 10**6)


def replace_value(data: bytes, place: int, value: object) -> bytes:
    """Return a message with one of its values, in any depth, replaced."""
    message: list[Any] = cbor2.loads(data)
    slots: list[tuple[list[Any], int]] = []

    def collect(items: list[Any]) -> None:
        for index, item in enumerate(items):
            slots.append((items, index))
            if isinstance(item, list):
                collect(item)

    collect(message)
    items, index = slots[place % len(slots)]
    items[index] = copy.copy(value)
    return cbor2.dumps(message)


def decode_or_none(data: bytes) -> Report | None:
    """Return a report, ``None`` if it is invalid or of an unknown kind."""
    try:
        return decode_report(data)
    except PeerProtocolError:
        return None
