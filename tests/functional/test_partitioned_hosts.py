"""Check over real sockets what hosts do that are cut from all servers."""

import asyncio
import logging

import pytest

from tests.lib.link_proxy import LinkState
from tests.lib.partition_cluster import CallResult, PartitionCluster

_RATE = 90.0
_CUT_AFTER_SECONDS = 1.0
_CUT_SECONDS = 6.0
# The platform's bound: first tries count from this time after the cut began.
_STABLE_SECONDS = 3.0
_PATHS = ("/safe/a", "/once/a", "/stream/a")
_CUTS = (
    LinkState.SILENT,
    LinkState.RESET_AND_SILENT,
    LinkState.RESET_AND_REFUSED,
    LinkState.NEW_REFUSED,
)


def _play(
    cut_hosts: int,
    state: LinkState,
    service_seconds: float = 0.02,
    max_connections: int = 100,
) -> list[CallResult]:
    """Cut some hosts from all servers; return the calls from the bound to the end."""

    async def run() -> list[CallResult]:
        cluster = PartitionCluster()
        cluster.max_connections = max_connections
        async with cluster:
            for server in cluster.servers:
                server.service_seconds = service_seconds
            calls = asyncio.create_task(
                cluster.call_hosts(_RATE, _CUT_AFTER_SECONDS + _CUT_SECONDS, _PATHS)
            )
            await asyncio.sleep(_CUT_AFTER_SECONDS)
            cut = cluster.host_names[:cut_hosts]
            await cluster.cut(cut, state)
            began_at = asyncio.get_running_loop().time()
            results = await calls
            await cluster.cut(cut, LinkState.OPEN)
            return [r for r in results if r.sent_at >= began_at + _STABLE_SECONDS]

    return asyncio.run(asyncio.wait_for(run(), 60.0))


def _served_share(results: list[CallResult], hosts: set[str]) -> float:
    called = [result for result in results if result.host in hosts]
    return sum(result.status == 200 for result in called) / len(called)


def test_a_cut_does_not_count_as_a_crash_of_the_servers(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level(logging.WARNING):
        _play(3, LinkState.RESET_AND_REFUSED)
    crashes = [item for item in caplog.messages if item.startswith("server crashed")]
    assert crashes == []


@pytest.mark.parametrize("cut_hosts", [3, 5])
@pytest.mark.parametrize("state", _CUTS)
def test_hosts_that_are_cut_from_all_servers_serve_their_callers(
    state: LinkState, cut_hosts: int
) -> None:
    _check_served(_play(cut_hosts, state), cut_hosts)


def test_hosts_that_open_no_connections_serve_work_that_needs_many() -> None:
    results = _play(3, LinkState.NEW_REFUSED, service_seconds=0.3)
    _check_served(results, 3)


@pytest.mark.parametrize("state", _CUTS)
def test_cut_hosts_serve_a_service_with_few_connections(state: LinkState) -> None:
    _check_served(_play(3, state, max_connections=24), 3)


def _check_served(results: list[CallResult], cut_hosts: int) -> None:
    """Check the platform's bound on first tries at the cut hosts and the others."""
    names = [f"host-{number}" for number in range(6)]
    cut, others = set(names[:cut_hosts]), set(names[cut_hosts:])
    assert _served_share(results, cut) >= 2 / 3 * _served_share(results, others)
    failed = sum(result.status != 200 for result in results)
    assert failed <= 10 + len(results) / 50
