"""Check routers against prompt parts that crash the engines that begin to answer."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from tests.lib.crash_cluster import CrashCluster
from tests.lib.crash_play import Call, CrashPlay
from tests.lib.prompt_parts import PartTraffic

# The platform's bounds: after the fifth crash and this time, at most three more sends.
_STABLE_WINDOW_SECONDS = 3.0
_CRASHES = 5
_MAX_LATE_SENDS = 3
# Sound requests begin at least this often, compared with undisturbed times, later than
# twice the window after the last crash.
_MIN_SOUND_FRACTION = 0.5
_RESTART_SECONDS = 0.1

Scenario = Callable[[CrashCluster], Awaitable[None]]


def _run(scenario: Scenario, hosts: int = 2) -> CrashCluster:
    cluster = CrashCluster(hosts=hosts, servers=6, down_seconds=0.5)

    async def run() -> None:
        async with cluster:
            await scenario(cluster)

    asyncio.run(asyncio.wait_for(run(), 60.0))
    return cluster


def _late_sends(cluster: CrashCluster) -> int:
    """Return how many requests with a bad part reached servers too late."""
    if len(cluster.crash_times) < _CRASHES:
        return 0
    bound = cluster.crash_times[_CRASHES - 1] + _STABLE_WINDOW_SECONDS
    return sum(time > bound for time in cluster.bad_part_times)


def test_distinct_requests_with_one_crashing_part_are_not_sent_without_end() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        await PartTraffic(cluster).send(seconds=9.0, per_second=30.0)

    assert _late_sends(_run(scenario)) <= _MAX_LATE_SENDS


@pytest.mark.parametrize("position", [0, 1])
def test_sound_requests_begin_and_bad_ones_get_a_final_status_at_once(
    position: int,
) -> None:
    async def scenario(cluster: CrashCluster) -> None:
        traffic = PartTraffic(cluster, bad_position=position)
        await traffic.send(seconds=8.0, per_second=30.0)
        since = cluster.crash_times[-1] + 2 * _STABLE_WINDOW_SECONDS
        assert traffic.sound_fraction(since) > _MIN_SOUND_FRACTION
        late = [status for sent_at, status in traffic.bad if sent_at > since]
        assert late
        assert set(late) == {502}
        _, fields = await cluster.call(
            "host-0", b"x", "/stream/a", X_Prompt_Prefix="f1:1,bad:1,own:1"
        )
        assert "retry-after" not in fields

    _run(scenario)


def test_several_crashing_parts_at_once_are_all_refused() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        parts = ("b1", "b2", "b3")
        for server in cluster.servers:
            server.bad_parts = set(parts)
        traffic = PartTraffic(cluster, parts, bad_fraction=0.3)
        await traffic.send(seconds=8.0, per_second=40.0)
        since = cluster.crash_times[-1]
        assert since < traffic.bad[-1][0] - _STABLE_WINDOW_SECONDS
        assert len(cluster.bad_part_times) <= len(parts) * (_CRASHES + _MAX_LATE_SENDS)
        assert traffic.sound_fraction(since + 1.0) > _MIN_SOUND_FRACTION

    _run(scenario)


def test_hosts_that_restart_or_start_late_refuse_the_part() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        traffic = asyncio.create_task(
            PartTraffic(cluster).send(seconds=10.0, per_second=30.0)
        )
        await asyncio.sleep(2.0)
        await cluster.start_host("host-2")
        rng = random.Random(1)
        for _ in range(4):
            await asyncio.sleep(1.5)
            host = rng.choice(sorted(cluster.nodes))
            await cluster.kill_host(host)
            await asyncio.sleep(_RESTART_SECONDS)
            await cluster.start_host(host)
        await traffic

    assert _late_sends(_run(scenario)) <= _MAX_LATE_SENDS


def test_the_last_part_of_a_prompt_never_counts() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        for number in range(8):
            prefix = f"f{number}:1,bad:1,own:1"
            await cluster.call(
                "host-0", b"%d" % number, "/stream/a", X_Prompt_Prefix=prefix
            )
        status, _ = await cluster.call(
            "host-0", b"x", "/stream/a", X_Prompt_Prefix="f9:1,bad:1"
        )
        assert status == 200

    _run(scenario)


@pytest.mark.parametrize(("count", "servers"), [(3, 3), (8, 6)])
def test_parts_that_crash_servers_at_once_are_all_refused_in_time(
    count: int, servers: int
) -> None:
    cluster = CrashCluster(hosts=6, servers=servers, down_seconds=3.0)
    parts = [f"bad{number}" for number in range(count)]
    for server in cluster.servers:
        server.bad_parts = set(parts)
    bad = [Call(b"", "/stream/a", part=part) for part in parts]
    sound = Call(b"sound", "/stream/a", part="good")
    play = CrashPlay(cluster, bad, sound, seconds=24.0, sound_interval=0.1)

    async def run() -> None:
        async with cluster:
            await play.run()

    asyncio.run(asyncio.wait_for(run(), 60.0))
    assert max(play.late_sends().values(), default=0) <= _MAX_LATE_SENDS
    assert max(play.crash_counts().values()) <= _CRASHES
    assert play.served_share >= _MIN_SOUND_FRACTION
