"""Check that hosts of the versions before and after understand each other."""

from collections.abc import Callable
from typing import Any

import cbor2
import pytest

from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.owner_claim import OwnerClaim
from gooseberrydeal._internal.network.crash_codec import (
    decode_crash_record,
    encode_crash_record,
)
from gooseberrydeal._internal.network.known_state_codec import (
    decode_known_state,
    encode_known_state,
)
from gooseberrydeal._internal.network.report_codec import (
    decode_report,
    encode_crash_report,
    encode_isolation_notice,
    encode_limit_report,
    encode_status,
    encode_stream_notice,
    encode_stream_query,
    encode_usage,
)
from tests.lib import stored_messages as stored

_REVISION = 9
_DATAGRAMS: list[tuple[bytes, Callable[[Any], bytes]]] = [
    (stored.USAGE, encode_usage),
    (stored.STATUS, encode_status),
    (stored.CRASHES, encode_crash_report),
    (stored.LIMITS, encode_limit_report),
    (stored.ISOLATION, encode_isolation_notice),
    (stored.STREAM, encode_stream_notice),
    (stored.STREAM_QUERY, encode_stream_query),
]
_UNKNOWN_KIND = 99


@pytest.mark.parametrize(("data", "encode"), _DATAGRAMS)
def test_datagrams_of_the_version_before_are_read_and_written_alike(
    data: bytes, encode: Callable[[Any], bytes]
) -> None:
    assert encode(decode_report(data)) == data


def test_records_of_the_version_before_are_read_and_written_alike() -> None:
    assert HostMembership.decode(stored.HOST_RECORD).encode() == stored.HOST_RECORD
    claim = OwnerClaim.decode(stored.OWNER_RECORD, _REVISION)
    assert claim.encode() == stored.OWNER_RECORD
    claim = OwnerClaim.decode(stored.OWNER_RECORD_WITH_DELAY, _REVISION)
    assert claim.encode() == stored.OWNER_RECORD_WITH_DELAY
    evidence = decode_crash_record(stored.CRASH_RECORD)
    assert encode_crash_record(evidence) == stored.CRASH_RECORD
    state = decode_known_state(stored.KNOWN_STATE)
    assert encode_known_state(state) == stored.KNOWN_STATE


def _with_fields_of_a_later_version(data: bytes) -> bytes:
    """Add a field at the end of the message, and of each of the items it lists."""

    def extend(value: Any, *, is_item: bool) -> Any:
        if not isinstance(value, list):
            return value
        has_items = any(isinstance(item, list) for item in value)
        items = [extend(item, is_item=True) for item in value]
        # Lists of items grow by items, not by fields.
        is_list_of_items = has_items and all(isinstance(i, list) for i in value)
        return items if is_list_of_items or not is_item else [*items, "later"]

    return cbor2.dumps([*extend(cbor2.loads(data), is_item=False), "later"])


@pytest.mark.parametrize("data", [stored.CRASHES, stored.LIMITS, stored.ISOLATION])
def test_fields_of_a_later_version_are_skipped_in_the_items_of_datagrams(
    data: bytes,
) -> None:
    later = _with_fields_of_a_later_version(data)
    assert later != data
    assert decode_report(later) == decode_report(data)


@pytest.mark.parametrize("data", [item[0] for item in _DATAGRAMS])
def test_fields_of_a_later_version_are_skipped_in_datagrams(data: bytes) -> None:
    later = cbor2.dumps([*cbor2.loads(data), "later"])
    assert decode_report(later) == decode_report(data)


def test_datagrams_of_a_kind_that_a_later_version_brings_are_skipped() -> None:
    version, _, *fields = cbor2.loads(stored.USAGE)
    assert decode_report(cbor2.dumps([version, _UNKNOWN_KIND, *fields])) is None


def test_fields_of_a_later_version_are_skipped_in_records() -> None:
    host = stored.HOST_RECORD[:-1] + b', "later"]'
    assert HostMembership.decode(host) == HostMembership.decode(stored.HOST_RECORD)
    owner = stored.OWNER_RECORD_WITH_DELAY[:-1] + b', "later"]'
    claim = OwnerClaim.decode(stored.OWNER_RECORD_WITH_DELAY, _REVISION)
    assert OwnerClaim.decode(owner, _REVISION) == claim
    state = cbor2.dumps([*cbor2.loads(stored.KNOWN_STATE), "later"])
    assert decode_known_state(state) == decode_known_state(stored.KNOWN_STATE)
