"""Check several requests that crash servers at the same time, over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from gooseberrydeal._internal.models.routing.lost_request import LostRequest
from gooseberrydeal._internal.models.routing.route import RequestKind
from gooseberrydeal._internal.policy.isolation_turns import Turn
from tests.lib.crash_cluster import CrashCluster
from tests.lib.crash_hosts import run_hosts
from tests.lib.crash_play import MAX_CRASHES, MAX_LATE_SENDS, Call, CrashPlay
from tests.lib.crash_world import (
    CrashHost,
    CrashNetwork,
    crash_id,
    distinct_identity,
    identity,
    lost_request,
    prompt_part,
)
from tests.lib.crashing_server import CRASH_MARK
from tests.lib.fake_metadata_store import StoreData
from tests.lib.routing_builders import routed_request

_SOUND = Call(b"sound")
_FIRST_PART = "first"


def _bad_calls(count: int) -> list[Call]:
    return [Call(CRASH_MARK + b" %d" % number) for number in range(count)]


def _play(
    bad: list[Call],
    sound: Call = _SOUND,
    seconds: float = 14.0,
    disturb: Callable[[CrashCluster], Awaitable[None]] | None = None,
) -> CrashPlay:
    cluster = CrashCluster(hosts=6, servers=3, down_seconds=3.0)
    for server in cluster.servers:
        server.crash_delay_seconds = 0.04
    play = CrashPlay(cluster, bad, sound, seconds)

    async def run() -> None:
        async with cluster:
            disturbance = None if disturb is None else disturb(cluster)
            await asyncio.gather(play.run(), disturbance or asyncio.sleep(0.0))

    asyncio.run(asyncio.wait_for(run(), 120.0))
    return play


@pytest.mark.parametrize("count", [1, 8])
def test_requests_that_crash_servers_at_once_are_all_refused_in_time(
    count: int,
) -> None:
    play = _play(_bad_calls(count), seconds=14.0 if count == 1 else 32.0)
    assert max(play.late_sends().values(), default=0) <= MAX_LATE_SENDS
    assert play.served_share >= 0.5


def test_a_request_that_differs_from_sound_ones_by_its_query_is_refused() -> None:
    bad = Call(b"", "/safe/a?" + CRASH_MARK.decode(), "GET")
    play = _play([bad], Call(b"", "/safe/a", "GET"))
    assert max(play.late_sends().values(), default=0) <= MAX_LATE_SENDS
    assert len(play.cluster.crash_times) <= MAX_CRASHES
    assert play.served_share >= 0.5


def test_a_request_whose_query_differs_each_time_is_refused() -> None:
    bad = Call(b"", "/safe/a?" + CRASH_MARK.decode(), "GET", has_own_query=True)
    play = _play([bad], Call(b"sound"))
    assert max(play.late_sends().values(), default=0) <= MAX_LATE_SENDS
    assert len(play.cluster.crash_times) <= MAX_CRASHES
    assert play.served_share >= 0.5


def test_hosts_that_restart_meanwhile_do_not_send_them_without_end() -> None:
    async def restart(cluster: CrashCluster) -> None:
        for name in ("host-1", "host-4", "host-1"):
            await asyncio.sleep(4.0)
            await cluster.kill_host(name)
            await asyncio.sleep(0.5)
            await cluster.start_host(name)

    play = _play(_bad_calls(4), seconds=18.0, disturb=restart)
    assert max(play.late_sends().values(), default=0) <= MAX_LATE_SENDS


def test_suspects_wait_for_a_server_that_another_host_saw_crash() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        data.write("configuration", b"1", None)
        for number in range(3):
            data.write(f"servers/s{number}", b"1", None)
        await asyncio.sleep(5.0)
        first, second = (host.protection for host in hosts[:2])
        request = routed_request()
        for number in (7, 8):
            first.guard.note_crash(crash_id(number), [lost_request(b"other")])
        await asyncio.sleep(0.1)
        other = identity(b"other")
        assert await second.isolation.wait_for_turn(request, other) is Turn.FREE
        hosts[0].crash(2)
        await asyncio.sleep(0.1)
        assert await second.isolation.wait_for_turn(request, other) is Turn.HELD

    run_hosts(scenario)


def test_a_suspect_whose_crash_is_seen_late_is_not_sent_again_meanwhile() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        request, known = routed_request(RequestKind.IDEMPOTENT), identity()
        first, second = (host.protection for host in hosts[:2])
        first.guard.note_crash(crash_id(1), [lost_request()])
        await asyncio.sleep(0.1)
        assert await first.isolation.wait_for_turn(request, known) is Turn.FREE
        assert await first.isolation.claim(request, known, crash_id(2).server)
        first.isolation.finish(known.request_id, is_undecided=True)
        await asyncio.sleep(3.0)
        assert await second.isolation.wait_for_turn(request, known) is Turn.HELD
        first.guard.note_crash(crash_id(2), [lost_request()])
        await asyncio.sleep(0.1)
        assert all(host.refuses() for host in hosts)

    run_hosts(scenario)


def test_a_part_that_all_requests_share_is_not_refused_for_crashes_by_others() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        for number in range(6):
            hosts[number % 3].crash_with_parts(number, (_FIRST_PART, f"b{number}"))
        await asyncio.sleep(0.1)
        known = distinct_identity(1, _FIRST_PART, "sound")
        guards = [host.protection.guard for host in hosts]
        assert [guard.final_cause(known) for guard in guards] == [None, None, None]
        request = routed_request(RequestKind.STREAMING)
        isolation = hosts[0].protection.isolation
        assert isolation.must_isolate(request, known)
        assert await isolation.claim(request, known, crash_id(9).server)
        lost = LostRequest(known.request_id, known.features)
        guards[0].note_crash(crash_id(9), [lost])
        await asyncio.sleep(0.1)
        other = distinct_identity(2, _FIRST_PART, "other")
        assert {guard.final_cause(other) for guard in guards} == {
            prompt_part(_FIRST_PART)
        }

    run_hosts(scenario)
