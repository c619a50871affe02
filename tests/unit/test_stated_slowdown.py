"""Check for how long a server's slowdown counts that is odd but possible."""

import random
from collections import Counter

import pytest

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.usage_report import EngineUsage
from gooseberrydeal._internal.operations.router.engine_demand import EngineDemand
from gooseberrydeal._internal.policy.load_estimate import LoadEstimate
from gooseberrydeal._internal.policy.plain_server_choice import (
    PlainCandidate,
    choose_plain_server,
)

_SERVERS = [ServerId("p-0"), ServerId("p-1"), ServerId("p-2")]


@pytest.mark.parametrize("slowdown", [0.1, 10.0, 100.0])
def test_one_statement_neither_keeps_requests_from_a_server_nor_draws_all(
    slowdown: float,
) -> None:
    # Starved: a server that stated once to be slow got no request of a host any more.
    rng = random.Random(1)
    loads = {server: LoadEstimate() for server in _SERVERS}
    loads[_SERVERS[0]].report(0, slowdown, 0.0)
    chosen: Counter[ServerId] = Counter()
    for step in range(1, 601):
        now = step * 0.1
        candidates = [
            PlainCandidate(server, load.requests(now), 6, load.slowdown(now), True)
            for server, load in loads.items()
        ]
        found = choose_plain_server(candidates, rng)
        assert found is not None
        # Only the responses of the other servers say how slow they are.
        if found.server != _SERVERS[0]:
            loads[found.server].report(0, 1.0, now)
        chosen[found.server] += now > 10.0
    assert all(100 < chosen[server] < 250 for server in _SERVERS), chosen


def test_owners_do_not_repeat_a_slowdown_for_ever() -> None:
    demand = EngineDemand()
    usage = EngineUsage(ServerId("i-1"), 1, 900, 600, 100.0, 0.0)
    demand.apply(HostId("h1"), usage, 0.0)
    assert demand.slowdown(1.0) == 100.0
    repeated = EngineUsage(ServerId("i-1"), 1, 900, 600, 100.0, 11.0)
    demand.apply(HostId("h1"), repeated, 11.0)
    assert demand.slowdown(11.0) == 1.0
