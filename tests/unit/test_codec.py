"""Test that the peer codec round-trips messages and rejects invalid data."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport
from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate
from gooseberrydeal._internal.network import codec
from tests.lib.builders import host_report, server_report

_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**40), 2**40)
    | st.floats(allow_nan=True)
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=6)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=20,
)


def _decode_or_refuse(data: bytes) -> None:
    """Decode data; only ``PeerProtocolError`` is accepted as an error."""
    try:
        codec.decode(data)
    except PeerProtocolError:
        return


@settings(max_examples=7000)
@given(st.binary(max_size=400))
def test_random_bytes_are_refused_or_read(data: bytes) -> None:
    _decode_or_refuse(data)


@pytest.mark.parametrize("version", [0, 1, 2, 3])
@settings(max_examples=1500)
@given(kind=st.integers(-2, 30), fields=_JSON)
def test_random_fields_are_refused_or_read(
    version: int, kind: int, fields: object
) -> None:
    _decode_or_refuse(cbor2.dumps([version, kind, fields]))


@pytest.mark.parametrize("kind", range(1, 22))
@settings(max_examples=340)
@given(fields=st.lists(_JSON, max_size=20))
def test_random_lists_are_refused_or_read(kind: int, fields: list[object]) -> None:
    _decode_or_refuse(cbor2.dumps([1, kind, fields]))


def test_nested_messages_round_trip() -> None:
    slots = SlotsReport("s1", 1, 1, (CopyReport("a", "v1", is_ready=True),))
    update = ViewUpdate((host_report(),), (server_report(),), (slots,))
    assert codec.decode(codec.encode(update)) == update


def test_extra_fields_are_ignored_and_missing_ones_get_defaults() -> None:
    version, kind, fields = cbor2.loads(codec.encode(Hello("h", "d", "keeper", "a")))
    with_extra_field = cbor2.dumps([version, kind, [*fields, "new"]])
    assert codec.decode(with_extra_field) == Hello("h", "d", "keeper", "a")
    without_last_field = cbor2.dumps([version, kind, fields[:3]])
    assert codec.decode(without_last_field) == Hello("h", "d", "keeper")


def test_unknown_message_kinds_are_ignored() -> None:
    assert codec.decode(cbor2.dumps([1, 999, []])) is None


def test_message_without_required_fields_is_rejected() -> None:
    with pytest.raises(PeerProtocolError):
        codec.decode(cbor2.dumps([1, 3, [1, "r"]]))


def test_deeply_nested_data_is_rejected() -> None:
    data = b"\x81" * 100_000 + b"\x00"
    with pytest.raises(PeerProtocolError):
        codec.decode(data)


def test_binary_body_round_trips() -> None:
    submit = Submit(
        stream=1,
        request_id="r",
        server="s",
        service="x",
        call="plain",
        caller="c",
        work_class="short",
        deadline_left=1.0,
        expected_tokens=1,
        body=bytes(range(256)),
        repeatable=False,
    )
    assert codec.decode(codec.encode(submit)) == submit
