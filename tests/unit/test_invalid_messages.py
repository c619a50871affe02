"""Check messages of other hosts with values that no host should send."""

import pytest
from hypothesis import example, given

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.usage_report import (
    CopyLoadRequest,
    CopyUse,
    EngineUsage,
    UsageReport,
)
from gooseberrydeal._internal.network.report_codec import (
    decode_report,
    encode_status,
    encode_usage,
)
from gooseberrydeal._internal.operations.router.engine_demand import EngineDemand
from gooseberrydeal._internal.policy.exchange_periods import ExchangePeriods
from tests.lib.engine_decisions import check_decisions, record_of
from tests.lib.odd_messages import PLACES, decode_or_none, replace_value
from tests.lib.odd_values import FIELD_VALUES
from tests.lib.routing_builders import copy_key, engine_status, server_entry

_HOST = HostId("h2")
_SERVER = ServerId("i-1")
_USAGE = UsageReport(
    _HOST,
    5,
    6,
    (
        EngineUsage(
            _SERVER,
            2,
            900,
            600,
            1.5,
            0.5,
            (CopyUse(copy_key(), 1, 3),),
            (CopyLoadRequest(copy_key("a2"), 1, 0.4),),
        ),
    ),
)


@given(place=PLACES, value=FIELD_VALUES)
@example(place=11, value=0)
@example(place=8, value=10**400)
def test_no_value_in_a_status_ends_a_decision_on_the_engine(
    place: int, value: object
) -> None:
    # LOST: hosts passed a slowdown of zero on to one another.
    sent = engine_status(_SERVER, pending_prefill_tokens=600)
    record = record_of(server_entry())
    status = decode_or_none(replace_value(encode_status(sent), place, value))
    if isinstance(status, EngineStatus):
        record.apply_status(status, 10.0, ExchangePeriods())
    check_decisions(record, 11.0)


@given(place=PLACES, value=FIELD_VALUES)
@example(place=9, value=10**400)
def test_no_value_in_a_usage_report_ends_a_status(place: int, value: object) -> None:
    report = decode_or_none(replace_value(encode_usage(_USAGE), place, value))
    demand = EngineDemand()
    if isinstance(report, UsageReport):
        for usage in report.engines:
            demand.apply(report.host, usage, 10.0)
    demand.load_requests(10.0)
    status = engine_status(
        _SERVER,
        requests=demand.requests(),
        tokens=demand.tokens(),
        pending_prefill_tokens=demand.pending_prefill_tokens(),
        slowdown=demand.slowdown(10.0),
    )
    found = decode_report(encode_status(status))
    assert isinstance(found, EngineStatus)
    assert found.requests == status.requests
    # A report after it counts again.
    for usage in _USAGE.engines:
        demand.apply(_HOST, usage, 12.0)
    assert demand.slowdown(12.0) == pytest.approx(1.5)


def test_an_invalid_slowdown_counts_as_the_usual_one() -> None:
    # Hosts of earlier versions pass on what a server stated.
    for slowdown in (0.0, 0.05, 1_000.0, 1e300):
        status = decode_report(encode_status(engine_status(slowdown=slowdown)))
        assert isinstance(status, EngineStatus)
        assert status.slowdown == 1.0
        usage = EngineUsage(_SERVER, 0, 0, 0, slowdown)
        report = decode_report(encode_usage(UsageReport(_HOST, 1, 1, (usage,))))
        assert isinstance(report, UsageReport)
        assert report.engines[0].slowdown == 1.0
