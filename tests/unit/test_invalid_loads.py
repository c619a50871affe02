"""Check decisions on servers against any load that a response may state."""

from hypothesis import example, given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.reply_facts import ReportedLoad
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from tests.lib.engine_decisions import check_decisions, record_of
from tests.lib.odd_values import LOADS
from tests.lib.routing_builders import server_entry


def decode(value: str) -> ReportedLoad | None:
    """Return the load that a response with a field of this value states."""
    headers = ((b"X-Instance-Load", value.encode()),)
    return PlatformRelayCodec().read_response(ResponseHead(200, b"", headers)).load


@given(value=LOADS, age=st.floats(0, 100), pending=st.integers(0, 10**6))
@example(value="3,0,16,0", age=0.0, pending=0)
@example(value=f"{'9' * 308},{'9' * 308},16,100", age=0.0, pending=0)
def test_no_stated_load_ends_a_decision_on_the_server(
    value: str, age: float, pending: int
) -> None:
    # LOST: a last figure of zero ended each request that weighed the engine.
    record = record_of(server_entry())
    record.load.report_others(3, 900, pending, 1.0, 5.0)
    stated = decode(value)
    if stated is not None:
        total = stated.running + stated.waiting
        record.load.report(total, stated.slowdown, 10.0)
    check_decisions(record, 10.0 + age)
