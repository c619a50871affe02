"""Test that reports between hosts round-trip and that invalid data is rejected."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.ids import (
    FencingNumber,
    HostId,
    ServerId,
    ServiceName,
)
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import (
    CopyStatus,
    EngineStatus,
)
from gooseberrydeal._internal.models.routing.limit_report import (
    LimitReport,
    LimitStatement,
)
from gooseberrydeal._internal.models.routing.usage_report import (
    CopyLoadRequest,
    CopyUse,
    EngineUsage,
    UsageReport,
    WaitingCount,
)
from gooseberrydeal._internal.network.report_codec import (
    decode_report,
    encode_limit_report,
    encode_status,
    encode_usage,
)

_counts = st.integers(0, 2**31)
_hundredths = st.integers(0, 6000).map(lambda number: number / 100)
# Slowdowns beyond these are replaced, see test_invalid_messages.
_slowdowns = st.integers(10, 6000).map(lambda number: number / 100)
_thousandths = st.integers(-5000, 5000).map(lambda number: number / 1000)
_keys = st.builds(AdapterCopyKey, st.text(max_size=8), st.text(max_size=8), _counts)
_usages = st.builds(
    EngineUsage,
    st.text(max_size=9).map(ServerId),
    _counts,
    _counts,
    _counts,
    _slowdowns,
    st.integers(0, 60).map(float),
    st.lists(st.builds(CopyUse, _keys, _counts, _counts), max_size=3).map(tuple),
    st.lists(
        st.builds(CopyLoadRequest, _keys, _counts, _thousandths, st.booleans()),
        max_size=3,
    ).map(tuple),
)
_statuses = st.builds(
    EngineStatus,
    st.text(max_size=9).map(HostId),
    st.text(max_size=9).map(ServerId),
    _counts.map(FencingNumber),
    _counts,
    st.booleans(),
    _counts,
    _counts,
    _counts,
    _counts,
    _slowdowns,
    st.lists(st.text(max_size=8), max_size=2).map(tuple),
    st.lists(
        st.builds(
            CopyStatus,
            _keys,
            st.sampled_from(CopyState),
            st.integers(0, 3000).map(lambda number: number / 1000),
        ),
        max_size=3,
    ).map(tuple),
    waiting=st.lists(st.tuples(_counts, _counts), max_size=2).map(tuple),
)


_waiting = st.lists(
    st.builds(WaitingCount, st.text(max_size=9).map(ServiceName), _counts, _counts),
    max_size=2,
).map(tuple)


@given(
    usages=st.lists(_usages, max_size=3).map(tuple), number=_counts, waiting=_waiting
)
def test_usage_reports_survive(
    usages: tuple[EngineUsage, ...], number: int, waiting: tuple[WaitingCount, ...]
) -> None:
    report = UsageReport(HostId("h1"), number, number, usages, waiting)
    found = decode_report(encode_usage(report))
    assert isinstance(found, UsageReport)
    assert found.waiting == waiting
    assert (found.host, found.sequence) == ("h1", number)
    for got, sent in zip(found.engines, usages, strict=True):
        assert (got.copy_uses, got.server) == (sent.copy_uses, sent.server)
        assert got.slowdown == pytest.approx(sent.slowdown, abs=0.011)
        assert [w.key for w in got.load_requests] == [w.key for w in sent.load_requests]
        for got_request, load_request in zip(
            got.load_requests, sent.load_requests, strict=True
        ):
            assert got_request.slack == pytest.approx(load_request.slack, abs=0.002)
            assert got_request.is_missing == load_request.is_missing


@given(status=_statuses)
def test_statuses_survive(status: EngineStatus) -> None:
    found = decode_report(encode_status(status))
    assert isinstance(found, EngineStatus)
    assert (found.server, found.spare_slots) == (status.server, status.spare_slots)
    assert found.base_models == status.base_models
    assert found.waiting == status.waiting
    assert [(c.key, c.state) for c in found.copies] == [
        (c.key, c.state) for c in status.copies
    ]


_statements = st.builds(
    LimitStatement,
    st.text(max_size=9).map(ServerId),
    _counts,
    st.none() | _counts.map(lambda number: number / 1000),
    _counts.map(lambda number: number / 1000),
)


@given(
    demands=st.dictionaries(st.text(max_size=9).map(ServiceName), _hundredths),
    statements=st.lists(_statements, max_size=4).map(tuple),
)
def test_limit_reports_survive(
    demands: dict[ServiceName, float], statements: tuple[LimitStatement, ...]
) -> None:
    report = LimitReport(HostId("h1"), demands, statements)
    found = decode_report(encode_limit_report(report))
    assert isinstance(found, LimitReport)
    assert found.demands == pytest.approx(demands, abs=0.0011)
    for got, sent in zip(found.statements, statements, strict=True):
        assert (got.server, got.started_at) == (sent.server, sent.started_at)
        assert got.seconds_ago == pytest.approx(sent.seconds_ago, abs=0.0011)
        assert got.requests_per_second == pytest.approx(
            sent.requests_per_second, abs=0.0011
        )


@given(data=st.binary(max_size=60))
def test_other_bytes_are_refused_or_left_out(data: bytes) -> None:
    try:
        decode_report(data)
    except PeerProtocolError:
        return


def test_unknown_report_kinds_are_ignored() -> None:
    assert decode_report(b"\x83\x01\x18\x63\x80") is None
