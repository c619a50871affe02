"""Run the version in production and the present one side by side, as processes."""

import asyncio
import json
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.lib.brittle_server import BrittleServer
from tests.lib.build_cluster import BuildCluster
from tests.lib.source_history import (
    CURRENT_SOURCE,
    extract_source,
    production_commit,
)

_HOSTS = 3
_RATE = 30.0
_OUTAGE_SECONDS = 1.5
_SETTLE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class _Result:
    body: bytes
    host: str
    status: int


async def _call_all(
    cluster: BuildCluster, stop: asyncio.Event, results: list[_Result]
) -> None:
    """Send requests to the hosts in turn until stopped; 0 stands for no response."""
    running: set[asyncio.Task[None]] = set()

    async def call(number: int) -> None:
        host = cluster.host_names[number % _HOSTS]
        path = ("/safe/a", "/once/a")[number % 2]
        body = path[1:5].encode() + b" %d" % number
        try:
            status = (await cluster.call(host, body, path))[0]
        except OSError:
            status = 0
        results.append(_Result(body, host, status))

    number = 0
    while not stop.is_set():
        task = asyncio.create_task(call(number))
        running.add(task)
        task.add_done_callback(running.discard)
        number += 1
        await asyncio.sleep(1.0 / _RATE)
    await asyncio.gather(*running)


async def _trouble(cluster: BuildCluster) -> None:
    """Let the store, the configuration and the servers change, one after another."""
    configuration = json.loads(cluster.store.get("op/config"))
    configuration["version"] += 1
    cluster.store.put("op/config", json.dumps(configuration).encode())
    cluster.servers[0].crash()
    await asyncio.sleep(_SETTLE_SECONDS)
    cluster.servers[1].is_leaving = True
    cluster.store.set_unavailable(is_unavailable=True)
    await asyncio.sleep(_OUTAGE_SECONDS)
    cluster.store.set_unavailable(is_unavailable=False)
    cluster.servers[1].is_leaving = False
    for server in cluster.servers:
        assert isinstance(server, BrittleServer)
        server.is_brittle = not server.is_brittle
    await asyncio.sleep(_SETTLE_SECONDS)


@pytest.mark.parametrize("is_rollback", [False, True])
def test_hosts_of_two_builds_serve_side_by_side(
    tmp_path: Path, *, is_rollback: bool
) -> None:
    production = extract_source(production_commit(), tmp_path / "production")
    builds = [production, CURRENT_SOURCE]
    before, after = reversed(builds) if is_rollback else builds

    async def run() -> tuple[BuildCluster, list[_Result]]:
        results: list[_Result] = []
        stop = asyncio.Event()
        cluster = BuildCluster(tmp_path, before, _HOSTS, servers=4)
        async with cluster:
            calls = asyncio.create_task(_call_all(cluster, stop, results))
            for host in cluster.host_names:
                await cluster.replace_host(host, after)
                await _trouble(cluster)
            stop.set()
            await calls
        return cluster, results

    cluster, results = asyncio.run(asyncio.wait_for(run(), 120.0))
    arrived = Counter(body for s in cluster.servers for body, _ in s.arrivals)
    assert {
        body for body, n in arrived.items() if n > 1 and body[:4] == b"once"
    } == set()
    refused = {item.body for item in results if item.status in (429, 503)}
    assert {body for body in refused if body[:4] == b"once"} & set(arrived) == set()
    statuses = Counter(item.status for item in results)
    assert statuses.keys() <= {0, 200, 502, 503}
    # Callers are not kept away from the host that is being replaced.
    assert statuses[200] >= 0.7 * statuses.total()
    problems = [line for line in cluster.log if '"level": "error"' in line]
    assert problems == []
