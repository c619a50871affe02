"""Test that speeds between hosts round-trip, and that absurd ones are left out."""

from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.engine_speed import EngineSpeed
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation
from gooseberrydeal._internal.models.routing.usage_report import (
    EngineUsage,
    UsageReport,
)
from gooseberrydeal._internal.network.report_codec import (
    decode_report,
    encode_status,
    encode_usage,
)
from tests.lib.routing_builders import engine_status

SEEN = SpeedObservation(650, 0.024, 7, 0.0052, 0.032, 0.04)
SPEED = EngineSpeed(1 / 40_000, 0.0052, 0.00001, 1_024.0)


def usage_message(observations: Any) -> bytes:
    usage = EngineUsage(ServerId("i-1"), 1, 2, 3, observations=(SEEN,))
    message = cbor2.loads(encode_usage(UsageReport(HostId("h1"), 1, 1, (usage,))))
    message[-1][0][-1] = observations
    return cbor2.dumps(message)


def observations_in(data: bytes) -> tuple[SpeedObservation, ...]:
    report = decode_report(data)
    assert isinstance(report, UsageReport)
    return report.engines[0].observations


def test_observations_and_speeds_survive() -> None:
    usage = EngineUsage(ServerId("i-1"), 1, 2, 3, observations=(SEEN, SEEN))
    report = UsageReport(HostId("h1"), 1, 1, (usage,))
    assert decode_report(encode_usage(report)) == report
    status = engine_status(speed=SPEED)
    assert decode_report(encode_status(status)) == status


@given(
    st.recursive(
        st.integers()
        | st.booleans()
        | st.floats(allow_nan=False)
        | st.text()
        | st.none(),
        lambda inner: st.lists(inner, max_size=6),
    )
)
def test_no_field_of_another_host_costs_the_rest_of_its_report(field: Any) -> None:
    for item in observations_in(usage_message(field)):
        assert 0 <= item.wait_seconds <= 60
    message = cbor2.loads(encode_status(engine_status(speed=SPEED)))
    found = decode_report(cbor2.dumps([*message[:-1], field]))
    assert isinstance(found, EngineStatus)
    assert found.server == "i-1"


@pytest.mark.parametrize("fields", [[0, 5200, 0, 1024], [25_000, 0, 0, 1024], [-1] * 4])
def test_an_absurd_speed_is_treated_as_not_sent(fields: list[int]) -> None:
    # A prefill time of 0 would divide by zero, a step of 0 would attract all requests.
    message = cbor2.loads(encode_status(engine_status()))
    found = decode_report(cbor2.dumps([*message, fields]))
    assert isinstance(found, EngineStatus)
    assert found.speed is None


def test_valid_observations_are_kept_beside_absurd_ones() -> None:
    valid = [650, 24_000, 7, 5_200, 32_000, 40_000]
    absurd = [[650, -1, 7, 5_200, 0], [True] * 6, [1], "x", [10**12, 1, 1, 1, 1, 1]]
    assert observations_in(usage_message([*absurd, valid])) == (SEEN,)
    assert len(observations_in(usage_message([valid] * 1_000))) <= 16
