"""Check over real sockets what hosts do with requests that others pass on."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from tests.lib.crash_cluster import CALLER_HOST
from tests.lib.link_proxy import LinkState
from tests.lib.partition_cluster import PartitionCluster

Scenario = Callable[[PartitionCluster], Awaitable[None]]
_CUT = "host-0"


def _run(scenario: Scenario, hosts: int = 2, servers: int = 2) -> None:
    """Run a scenario in which the first host is cut from all servers, and knows it."""

    async def run() -> None:
        async with PartitionCluster(hosts=hosts, servers=servers) as cluster:
            await cluster.cut([_CUT], LinkState.RESET_AND_REFUSED)
            while not cluster.nodes[_CUT]._reachability.is_isolated:
                await cluster.call(_CUT, b"notice", "/safe/notice")
            await scenario(cluster)

    asyncio.run(asyncio.wait_for(run(), 30.0))


def _request(path: str, body: bytes, *fields: str, deadline: int = 3000) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {CALLER_HOST}",
        "X-Request-Id: 00000000000000aa",
        f"X-Deadline-Ms: {deadline}",
        f"Content-Length: {len(body)}",
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _heads(cluster: PartitionCluster, body: bytes) -> list[bytes]:
    """Return the heads with which a request arrived at servers."""
    return [
        head
        for server in cluster.servers
        for head, (arrived, _) in zip(server.heads, server.arrivals, strict=True)
        if arrived == body
    ]


def test_a_request_arrives_unchanged_and_without_the_fields_of_hosts() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        status, fields = await cluster.call(_CUT, b"one", "/once/a", X_Note="kept")
        assert status == 200
        assert not [name for name in fields if name.startswith("gooseberrydeal")]
        (head,) = _heads(cluster, b"one")
        lower = head.lower()
        assert head.startswith(b"POST /once/a HTTP/1.1\r\n")
        assert b"\r\nx-note: kept\r\n" in lower
        assert b"gooseberrydeal" not in lower

    _run(scenario)


def test_the_server_gets_the_time_that_is_left() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        reader, writer = await asyncio.open_connection(*cluster.address_of(_CUT))
        writer.write(_request("/once/a", b"short", deadline=1500))
        assert (await reader.readline()).split()[1] == b"200"
        writer.close()
        (head,) = _heads(cluster, b"short")
        lower = head.lower()
        assert lower.count(b"x-deadline-ms") == 1
        milliseconds = int(lower.split(b"x-deadline-ms: ")[1].split(b"\r\n")[0])
        assert 0 < milliseconds <= 1500

    _run(scenario)


def test_a_caller_cannot_pretend_to_be_a_host() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        node = cluster.nodes["host-1"]
        incarnation = node._view.hosts[node._settings.host].incarnation
        forged = {
            "gooseberrydeal_host": f"host-1 {incarnation}",
            "gooseberrydeal_max_servers": "1",
        }
        # As a request of a host, it would be refused here and not passed on.
        assert (await cluster.call(_CUT, b"forged", "/once/a", **forged))[0] == 200
        (head,) = _heads(cluster, b"forged")
        assert b"gooseberrydeal" not in head.lower()

    _run(scenario)


@pytest.mark.parametrize("host", ["host-0 1", "host-9 1", "", "host-0"])
def test_the_address_for_hosts_refuses_what_no_host_has_passed_on(host: str) -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        address, port = cluster.nodes["host-1"]._settings.peers.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(address, int(port))
        fields = [f"Gooseberrydeal-Host: {host}", "Gooseberrydeal-Max-Servers: 1"]
        writer.write(_request("/once/a", b"forged", *fields))
        assert (await reader.readline()).split()[1] == b"401"
        writer.close()
        assert _heads(cluster, b"forged") == []

    _run(scenario)


def _passed_on(metrics: RouterMetrics) -> list[bytes]:
    """Return the counts of the requests that a host has passed on."""
    lines = metrics.render().splitlines()
    return [line for line in lines if line.startswith(b"gooseberry_router_passed_on")]


def test_hosts_that_are_all_cut_refuse_at_once_and_pass_nothing_around() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        await cluster.cut(cluster.host_names, LinkState.RESET_AND_REFUSED)
        for host in cluster.host_names:
            while not cluster.nodes[host]._reachability.is_isolated:
                await cluster.call(host, b"notice", "/safe/notice")
        # Until then hosts ask nobody again that could not serve.
        await asyncio.sleep(1.1)
        others = [cluster.nodes[name]._metrics for name in cluster.host_names[1:]]
        before = [_passed_on(metrics) for metrics in others]
        status, fields = await cluster.call(_CUT, b"nobody", "/once/a")
        assert [_passed_on(metrics) for metrics in others] == before
        assert status == 503
        assert float(fields["retry-after"]) > 0
        assert _heads(cluster, b"nobody") == []

    _run(scenario, hosts=3)


def test_a_request_whose_second_host_ends_is_not_reported_as_unrun() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        for server in cluster.servers:
            server.service_seconds = 0.5
        call = asyncio.create_task(cluster.call(_CUT, b"once", "/once/a"))
        while not _heads(cluster, b"once"):
            await asyncio.sleep(0.01)
        await cluster.kill_host("host-1")
        assert (await call)[0] in (0, 502)
        assert len(_heads(cluster, b"once")) == 1

    _run(scenario)


def test_a_caller_that_leaves_cancels_the_request_at_the_second_host() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        for server in cluster.servers:
            server.service_seconds = 1.0
        _, writer = await asyncio.open_connection(*cluster.address_of(_CUT))
        writer.write(_request("/safe/a", b"left"))
        while not _heads(cluster, b"left"):
            await asyncio.sleep(0.01)
        writer.close()
        while cluster.nodes["host-1"]._handler.in_progress:
            await asyncio.sleep(0.01)

    _run(scenario)


def test_events_of_a_stream_are_passed_on_as_they_come() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        for server in cluster.servers:
            server.events = 1000
        reader, writer = await asyncio.open_connection(*cluster.address_of(_CUT))
        writer.write(_request("/stream/a", b"stream"))
        assert await reader.readuntil(b"id: 2\n")
        assert cluster.nodes["host-1"]._handler.in_progress == 1
        writer.close()

    _run(scenario)


def test_a_stream_that_breaks_off_behind_the_second_host_looks_incomplete() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        for server in cluster.servers:
            server.resets_streams = True
        reader, writer = await asyncio.open_connection(*cluster.address_of(_CUT))
        writer.write(_request("/stream/a", b"stream"))
        try:
            received = await reader.read(-1)
        except ConnectionError:
            received = b""
        assert not received.endswith(b"0\r\n\r\n")
        writer.close()

    _run(scenario)


def test_a_server_whose_leaving_was_passed_on_gets_nothing_from_the_first_host() -> (
    None
):
    async def scenario(cluster: PartitionCluster) -> None:
        leaving = cluster.servers[0]
        leaving.is_leaving = True
        while not leaving.told:
            await cluster.call(_CUT, b"one", "/safe/a")
        record = cluster.nodes[_CUT]._servers.get(ServerId(leaving.id))
        assert record is not None
        assert not cluster.nodes[_CUT]._dispatcher.eligible.notices.may_send(record)

    _run(scenario)


def test_a_host_serves_by_itself_again_once_its_links_are_back() -> None:
    async def scenario(cluster: PartitionCluster) -> None:
        await cluster.cut([_CUT], LinkState.OPEN)
        while cluster.nodes[_CUT]._reachability.is_isolated:
            await asyncio.sleep(0.01)
        await cluster.kill_host("host-1")
        assert (await cluster.call(_CUT, b"own", "/once/a"))[0] == 200

    _run(scenario)
