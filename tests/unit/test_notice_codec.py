"""Test that notices between hosts round-trip and that invalid ones are rejected."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.ids import (
    HostId,
    ServerId,
    ServiceName,
    SoftwareVersion,
)
from gooseberrydeal._internal.models.routing.isolation_notice import (
    IsolationNotice,
    IsolationState,
)
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.models.routing.stream_notice import (
    StreamNotice,
    StreamQuery,
)
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from gooseberrydeal._internal.network.report_codec import (
    decode_report,
    encode_isolation_notice,
    encode_stream_notice,
    encode_stream_query,
)

_numbers = st.integers(0, 2**62)
_names = st.text(max_size=12)
_digests = st.binary(max_size=16)
_features = st.builds(RequestFeature, _digests, _digests)
_origins = st.builds(
    StreamOrigin,
    _names.map(ServiceName),
    st.none() | _names.map(SoftwareVersion),
    _names.map(ServerId),
    _numbers,
)


@given(
    st.builds(
        IsolationNotice,
        _names.map(HostId),
        _numbers,
        _names.map(ServiceName),
        _names.map(ServerId),
        st.lists(_features, max_size=3).map(tuple),
        st.sampled_from(IsolationState),
    )
)
def test_isolation_notices_survive(notice: IsolationNotice) -> None:
    assert decode_report(encode_isolation_notice(notice)) == notice


@given(
    st.builds(
        StreamNotice, _names.map(HostId), _digests, _numbers, st.none() | _origins
    )
)
def test_stream_notices_survive(notice: StreamNotice) -> None:
    assert decode_report(encode_stream_notice(notice)) == notice


@given(_digests, _numbers)
def test_stream_queries_survive(stream: bytes, number: int) -> None:
    query = StreamQuery("10.0.0.1:7000", stream, number)
    assert decode_report(encode_stream_query(query)) == query


@pytest.mark.parametrize(
    "fields",
    [
        [1, 5, "h1", 1, "desk", "s1", [], 9],
        [1, 5, "h1", 1, "desk", "s1", [[b"a"]], 1],
        [1, 6, "h1", b"a", 0, ["desk", "v1"]],
        [1, 6, "h1", "a", 0, None],
        [1, 7, "nowhere", b"a", 1],
        [1, 7, "10.0.0.1:7000", b"a"],
    ],
)
def test_malformed_notices_are_rejected(fields: list[object]) -> None:
    with pytest.raises(PeerProtocolError):
        decode_report(cbor2.dumps(fields))
