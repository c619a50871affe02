"""Test which cause is recorded for a late response."""

import pytest

from gooseberrydeal._internal.operations.router.late_cause import LateCause
from gooseberrydeal._internal.operations.router.serve_times import ServeTimes
from tests.lib.routing_builders import route


@pytest.mark.parametrize(
    ("first_sent_at", "sent_at", "head_at", "load_wait", "pause", "cause"),
    [
        (10.7, 10.7, 11.2, 0.6, 0.0, LateCause.ADAPTER_LOAD),
        (10.7, 10.7, 11.2, 0.1, 0.0, LateCause.ENGINE_CAPACITY),
        (10.1, 10.9, 11.2, 0.0, 0.0, LateCause.FAILED_SENDS),
        (10.1, 10.1, 11.2, 0.0, 0.0, LateCause.SERVER),
        (10.1, 10.1, 10.4, 0.0, 0.6, LateCause.PAUSE),
        (10.1, 10.1, 10.4, 0.0, 0.3, None),
    ],
)
def test_late_response_is_attributed_to_its_longest_stage(
    first_sent_at: float,
    sent_at: float,
    head_at: float,
    load_wait: float,
    pause: float,
    cause: LateCause | None,
) -> None:
    times = ServeTimes(10.0, first_sent_at, sent_at, head_at, load_wait, pause)
    found = times.late_cause(route(target_latency=1.0, longest_pause=0.5))
    assert found is cause
