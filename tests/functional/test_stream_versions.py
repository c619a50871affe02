"""Check that streams go on only at the software version that began them."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from tests.lib.crash_cluster import CrashCluster
from tests.lib.crashing_server import EVENTS as LAST_EVENT
from tests.lib.stream_caller import StreamCaller

# The platform's bound on streams with events of two versions.
_MAX_MIXED = 2
_STREAMS = 60
_DISTURBED_STREAMS = 120
_ATTEMPTS = 4
# Longer than servers take to register, as hosts see it.
_STEADY_SECONDS = 5.0

Scenario = Callable[[CrashCluster], Awaitable[None]]


def _run(scenario: Scenario, *versions: object) -> None:
    cluster = CrashCluster(hosts=4, servers=len(versions), down_seconds=0.5)
    for server, version in zip(cluster.servers, versions, strict=True):
        server.version = version
        server.resets_streams = True

    async def run() -> None:
        async with cluster:
            await scenario(cluster)

    asyncio.run(asyncio.wait_for(run(), 60.0))


async def _begin(cluster: CrashCluster, number: int, path: str) -> StreamCaller:
    caller = StreamCaller(cluster, path)
    await asyncio.sleep(number * 0.01)
    await caller.attempt(f"host-{number % 4}")
    return caller


async def _take_up(caller: StreamCaller, number: int) -> bool:
    return await caller.attempt(f"host-{(number + 1) % 4}")


@pytest.mark.parametrize("path", ["/resumable/a", "/onward/a"])
def test_streams_hold_no_events_of_two_software_versions(path: str) -> None:
    async def scenario(cluster: CrashCluster) -> None:
        async def call(number: int) -> StreamCaller:
            caller = await _begin(cluster, number, path)
            if caller.last_event < 4:
                await _take_up(caller, number)
            return caller

        callers = await asyncio.gather(*map(call, range(_STREAMS)))
        assert sum(caller.is_mixed for caller in callers) <= _MAX_MIXED
        assert sum(caller.last_event == 4 for caller in callers) >= _STREAMS / 2

    _run(scenario, "v1", "v1.1", "v1", "v1.1", "v1", "v1.1")


async def _kill_hosts(cluster: CrashCluster) -> None:
    for name in ("host-0", "host-2", "host-1"):
        await asyncio.sleep(0.7)
        await cluster.kill_host(name)
        await asyncio.sleep(0.2)
        await cluster.start_host(name)


async def _restart_three_hosts(cluster: CrashCluster) -> None:
    await asyncio.sleep(1.0)
    for name in ("host-0", "host-1", "host-2"):
        await cluster.kill_host(name)
    for name in ("host-0", "host-1", "host-2"):
        await cluster.start_host(name)


async def _crash_servers(cluster: CrashCluster) -> None:
    for server in cluster.servers:
        await asyncio.sleep(0.4)
        server.crash()


async def _release(cluster: CrashCluster) -> None:
    for server in cluster.servers[::2]:
        await asyncio.sleep(0.6)
        server.version = "v2"
        server.crash()


async def _change_versions_under_their_ids(cluster: CrashCluster) -> None:
    for server in cluster.servers:
        server.keeps_id = True
    for server in cluster.servers[:4]:
        await asyncio.sleep(0.6)
        server.version = "v1.1" if server.version == "v1" else "v1"
        server.crash()


async def _change_versions_and_kill_hosts(cluster: CrashCluster) -> None:
    await asyncio.gather(
        _change_versions_under_their_ids(cluster), _kill_hosts(cluster)
    )


@pytest.mark.parametrize(
    "disturb",
    [
        _kill_hosts,
        _restart_three_hosts,
        _crash_servers,
        _release,
        _change_versions_under_their_ids,
        _change_versions_and_kill_hosts,
    ],
)
@pytest.mark.parametrize("path", ["/resumable/a", "/onward/a"])
def test_streams_are_not_mixed_while_hosts_and_servers_end(
    path: str, disturb: Scenario
) -> None:
    async def scenario(cluster: CrashCluster) -> None:
        rng = random.Random(path)
        callers = [StreamCaller(cluster, path) for _ in range(_DISTURBED_STREAMS)]

        async def call(caller: StreamCaller, number: int) -> None:
            await asyncio.sleep(number * 0.025)
            for _ in range(_ATTEMPTS):
                if caller.last_event < LAST_EVENT:
                    await caller.attempt(rng.choice(cluster.host_names))

        calls = (call(caller, number) for number, caller in enumerate(callers))
        await asyncio.gather(disturb(cluster), *calls)
        assert sum(caller.is_mixed for caller in callers) <= _MAX_MIXED
        whole = sum(caller.last_event == LAST_EVENT for caller in callers)
        assert whole >= len(callers) / 2

    _run(scenario, "v1", "v1.1", "v1", "v1.1", "v1", "v1.1")


@pytest.mark.parametrize("path", ["/resumable/a", "/onward/a"])
def test_streams_are_not_mixed_if_servers_restart_while_the_store_is_away(
    path: str,
) -> None:
    async def scenario(cluster: CrashCluster) -> None:
        await cluster.call_steadily(100, _STEADY_SECONDS / 100, b"sound")
        cluster.store.set_unavailable(is_unavailable=True)
        for server in cluster.servers[:4:2]:
            server.keeps_id = True
            server.version = "v1.1"
            server.crash()
        while not all(server.is_running for server in cluster.servers):
            await asyncio.sleep(0.05)

        async def call(number: int) -> StreamCaller:
            caller = await _begin(cluster, number, path)
            if caller.last_event < LAST_EVENT:
                await _take_up(caller, number)
            return caller

        callers = await asyncio.gather(*map(call, range(_STREAMS)))
        assert sum(caller.is_mixed for caller in callers) <= _MAX_MIXED
        assert sum(caller.last_event > 0 for caller in callers) >= _STREAMS / 2

    _run(scenario, "v1", "v1.1", "v1", "v1.1", "v1", "v1.1")


@pytest.mark.parametrize("path", ["/resumable/a", "/onward/a"])
def test_streams_go_on_while_the_store_is_away(path: str) -> None:
    async def scenario(cluster: CrashCluster) -> None:
        await cluster.call_steadily(100, _STEADY_SECONDS / 100, b"sound")
        cluster.store.set_unavailable(is_unavailable=True)

        async def call(number: int) -> StreamCaller:
            await asyncio.sleep(number * 0.03)
            caller = await _begin(cluster, number, path)
            if caller.last_event < LAST_EVENT:
                await _take_up(caller, number)
            return caller

        callers = await asyncio.gather(*map(call, range(_STREAMS)))
        assert not any(caller.is_mixed for caller in callers)
        assert sum(caller.last_event == LAST_EVENT for caller in callers) >= (
            sum(caller.last_event > 0 for caller in callers) / 2
        )

    _run(scenario, "v1", "v1.1", "v1", "v1.1", "v1", "v1.1")


def test_a_chain_of_resumes_names_any_attempt_that_brought_events() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        for number in range(8):
            first = await _begin(cluster, number, "/resumable/a")
            first.last_event = 1
            for later in range(1, 4):
                root = first.begun_as
                assert await first.attempt(f"host-{(number + later) % 4}")
                assert first.begun_as == root
                first.last_event = later
                first.begun_as = first.last_request if number % 2 else root
            assert not first.is_mixed

    _run(scenario, "v1", "v2", "v1", "v2")


def test_streams_go_on_when_the_host_that_began_them_is_killed() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        for server in cluster.servers:
            server.resets_streams = False
        callers = [StreamCaller(cluster) for _ in range(20)]
        attempts = [asyncio.create_task(c.attempt("host-0")) for c in callers]
        await asyncio.sleep(0.25)
        await cluster.kill_host("host-0")
        await asyncio.gather(*attempts)
        assert all(0 < caller.last_event < 4 for caller in callers)
        for number, caller in enumerate(callers):
            await caller.attempt(f"host-{number % 3 + 1}")
        assert not any(caller.is_mixed for caller in callers)
        assert all(caller.last_event == 4 for caller in callers)

    _run(scenario, "v1", "v2", "v1", "v2")


def test_a_stream_is_refused_at_once_if_no_host_knows_where_it_began() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        caller = StreamCaller(cluster, last_event=2, begun_as="0123456789abcdef")
        for names_first in (True, False):
            assert not await caller.attempt("host-1", names_first=names_first)
            assert caller.statuses[-1] == 503
            assert caller.bodies[-1] == b"stream_origin_unknown\n"

    _run(scenario, "v1", "v2")


def test_a_stream_goes_on_at_the_last_server_of_its_version_and_no_other() -> None:
    async def scenario(cluster: CrashCluster) -> None:
        await cluster.call_steadily(100, _STEADY_SECONDS / 100, b"sound")
        first, last = cluster.servers
        callers = [await _begin(cluster, number, "/resumable/a") for number in range(6)]
        cluster.servers[0].version = "v3"
        begun = [caller for caller in callers if caller.versions[0] == last.version]
        assert begun
        for number, caller in enumerate(begun):
            assert await _take_up(caller, number)
        others = [caller for caller in callers if caller not in begun]
        first.crash()
        while not first.is_running:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)
        for number, caller in enumerate(others):
            assert not await _take_up(caller, number)
            assert caller.statuses[-1] == 503
            assert caller.bodies[-1] == b"stream_version_gone\n"
        assert not any(caller.is_mixed for caller in callers)

    _run(scenario, "v1", "v2")


@pytest.mark.parametrize("version", [None, 7, "", {"a": 1}])
def test_a_server_without_a_valid_version_serves_new_streams(version: object) -> None:
    async def scenario(cluster: CrashCluster) -> None:
        for number in range(8):
            caller = await _begin(cluster, number, "/resumable/a")
            assert caller.statuses == [200]
            await _take_up(caller, number)
            assert not caller.is_mixed

    _run(scenario, version, version, "v1")
