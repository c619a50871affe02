"""Check entries of servers with numbers that no server can have."""

import json
from typing import Any

import pytest

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.platform.server_codec import decode_server
from tests.lib.engine_decisions import check_decisions, record_of
from tests.lib.odd_values import INVALID_INTEGERS

_ENTRY: dict[str, Any] = {
    "address": "10.0.0.1:80",
    "zone": "d1",
    "service": "language",
    "slots": 16,
    "state": "ready",
    "born": 7,
    "sequence": 3,
}


@pytest.mark.parametrize("field", ["slots", "born", "sequence"])
@pytest.mark.parametrize("value", INVALID_INTEGERS, ids=lambda value: str(value)[:9])
def test_an_entry_with_an_impossible_number_is_refused(
    field: str, value: object
) -> None:
    # An entry whose slots had 401 digits ended each request to its service.
    with pytest.raises(DeclarationError):
        decode_server("i-1", json.dumps({**_ENTRY, field: value}).encode())


@pytest.mark.parametrize("slots", [0, 1, 1_000_000])
def test_the_least_and_the_most_slots_can_be_decided_on(slots: int) -> None:
    entry = decode_server("i-1", json.dumps({**_ENTRY, "slots": slots}).encode())
    check_decisions(record_of(entry), 1.0)
