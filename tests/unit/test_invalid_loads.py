"""Check decisions on servers against any load that a response may state."""

import math
import random

from hypothesis import example, given
from hypothesis import strategies as st

from gooseberrydeal._internal.models.ids import DomainName
from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.reply_facts import ReportedLoad
from gooseberrydeal._internal.operations.router.engine_candidate import (
    engine_candidate,
    engine_load,
)
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from gooseberrydeal._internal.policy.engine_choice import RequestSize, choose_engine
from gooseberrydeal._internal.policy.plain_server_choice import (
    PlainCandidate,
    choose_plain_server,
)
from gooseberrydeal._internal.policy.speeds.prefill_limit import PrefillLimit
from tests.lib.odd_values import LOADS
from tests.lib.routing_builders import copy_key, server_entry, service

_DOMAIN = DomainName("d1")
_LIMIT = PrefillLimit(longest_pause=0.4, target_latency=0.8, prompt_tokens=600)


def decode(value: str) -> ReportedLoad | None:
    """Return the load that a response with a field of this value states."""
    headers = ((b"X-Instance-Load", value.encode()),)
    return PlatformRelayCodec().read_response(ResponseHead(200, b"", headers)).load


def check_decisions(record: ServerRecord, now: float) -> None:
    """Check that all that is decided on a server's load can be compared."""
    item = engine_candidate(record, copy_key(), _DOMAIN, _LIMIT, now)
    load = engine_load(record, now)
    figures = (
        item.cost_seconds(600),
        item.pending_prefill_tokens,
        item.pending_prefill_limit,
        load.wait_seconds(600),
        load.run_seconds(70),
    )
    assert all(math.isfinite(figure) and figure >= 0 for figure in figures)
    choose_engine(copy_key(), RequestSize(600, 700), [item], rng=random.Random(1))
    plain = PlainCandidate(record.id, item.requests, 6, item.slowdown, is_local=True)
    assert choose_plain_server([plain], random.Random(1)) is plain


@given(value=LOADS, age=st.floats(0, 100), pending=st.integers(0, 10**6))
@example(value="3,0,16,0", age=0.0, pending=0)
@example(value=f"{'9' * 308},{'9' * 308},16,100", age=0.0, pending=0)
def test_no_stated_load_ends_a_decision_on_the_server(
    value: str, age: float, pending: int
) -> None:
    # LOST: a last figure of zero ended each request that weighed the engine.
    record = ServerRecord(server_entry(), service(), 100)
    record.load.report_others(3, 900, pending, 1.0, 5.0)
    stated = decode(value)
    if stated is not None:
        total = stated.running + stated.waiting
        record.load.report(total, stated.slowdown, 10.0)
    check_decisions(record, 10.0 + age)
