"""Check over real sockets that brittle servers get no more than they have room for."""

import asyncio
from collections import Counter

import pytest

from gooseberrydeal._internal.operations.router import brittle_servers
from tests.lib.brittle_server import PLACES, BrittleCluster

_HOSTS = 6
_SERVERS = 6
_SERVICE_SECONDS = 0.2
_TOLD_AFTER_SECONDS = 1.0
# The platform's bound: servers may let fewer wait from this time after the notice.
_STABLE_SECONDS = 3.0
_BRITTLE_SECONDS = 8.0
_MANY_HOSTS = 24
_FEW_SERVERS = 3
_MANY_HOSTS_LOAD = 0.75
_CAPACITY_PER_SECOND = _SERVERS * PLACES / _SERVICE_SECONDS


def _play(rate: float, brittle: int) -> tuple[BrittleCluster, Counter[int]]:
    """Let some servers be brittle for a while beside steady requests."""
    cluster = BrittleCluster(_HOSTS, _SERVERS, 3.0, _SERVICE_SECONDS)
    statuses: Counter[int] = Counter()

    async def become_brittle() -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_TOLD_AFTER_SECONDS)
        for server in cluster.brittle_servers[:brittle]:
            server.shrinks_at = loop.time() + _STABLE_SECONDS
            server.is_brittle = True

    async def run() -> None:
        async with cluster:
            calls = int(rate * (_TOLD_AFTER_SECONDS + _BRITTLE_SECONDS))
            _, counted = await asyncio.gather(
                become_brittle(),
                cluster.call_steadily(calls, 1 / rate, b"steady", ("/safe/a",)),
            )
            statuses.update(counted)

    asyncio.run(asyncio.wait_for(run(), 60.0))
    return cluster, statuses


@pytest.mark.parametrize("rate", [90.0, 180.0])
@pytest.mark.parametrize("brittle", [_SERVERS, _SERVERS // 2])
def test_brittle_servers_do_not_fall_over_and_serve_what_they_can(
    rate: float, brittle: int
) -> None:
    cluster, statuses = _play(rate, brittle)
    assert cluster.falls <= 2 + brittle / 10
    share = min(1.0, _CAPACITY_PER_SECOND / rate)
    assert statuses[200] >= 0.7 * share * statuses.total()
    # Sound servers let requests wait almost as long as hosts wait for a response.
    given_up = {502} if brittle < _SERVERS else set()
    assert statuses.keys() <= {200, 503} | given_up


def test_hosts_without_a_place_at_brittle_servers_pass_their_requests_on() -> None:
    _play_more_hosts_than_places()


def test_hosts_that_pass_all_requests_on_do_not_forget_that_servers_are_brittle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(brittle_servers, "_RETENTION_SECONDS", 2.0)
    _play_more_hosts_than_places()


def _play_more_hosts_than_places() -> None:
    """Send more hosts than brittle servers have places most of what these can serve."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        cluster = BrittleCluster(_MANY_HOSTS, _FEW_SERVERS, 3.0, _SERVICE_SECONDS)
        async with cluster:
            for server in cluster.brittle_servers:
                server.is_brittle = True
                server.shrinks_at = loop.time() + _STABLE_SECONDS
            for host in cluster.host_names * 2:
                await cluster.call(host, b"notice")
            capacity = _FEW_SERVERS * PLACES / _SERVICE_SECONDS
            rate = _MANY_HOSTS_LOAD * capacity
            calls = int(rate * _BRITTLE_SECONDS)
            statuses = await cluster.call_steadily(
                calls, 1 / rate, b"steady", ("/safe/a",)
            )
            assert cluster.falls == 0
            assert statuses[200] >= 0.9 * calls
            assert statuses.keys() <= {200, 503}

    asyncio.run(asyncio.wait_for(run(), 60.0))


def test_requests_are_not_refused_for_the_fall_of_a_brittle_server() -> None:
    async def run() -> None:
        async with BrittleCluster(hosts=2, servers=2, down_seconds=0.5) as cluster:
            for server in cluster.brittle_servers:
                server.is_brittle = True
                server.service_seconds = 0.1
            # The hosts hear the notice before the servers fall over.
            for host in cluster.host_names * 2:
                assert (await cluster.call(host, b"notice"))[0] == 200
            for _ in range(4):
                calls = [
                    asyncio.create_task(cluster.call(host, b"sound"))
                    for host in cluster.host_names
                ]
                await asyncio.sleep(0.05)
                for server in cluster.brittle_servers:
                    server.crash()
                statuses = [(await call)[0] for call in calls]
                assert 400 not in statuses
                await asyncio.sleep(1.5)
            assert (await cluster.call("host-0", b"sound"))[0] == 200

    asyncio.run(asyncio.wait_for(run(), 60.0))
