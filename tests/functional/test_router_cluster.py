"""Check complete routers against a simulated platform, over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

from gooseberrydeal._internal.lab.router.router_cluster import RouterCluster
from gooseberrydeal._internal.lab.router.router_demo import RouterDemo, call_router


def _run(scenario: Callable[[RouterCluster], Awaitable[None]]) -> RouterCluster:
    cluster = RouterCluster(hosts=2, engines=2, slots=3)

    async def run() -> None:
        await cluster.start()
        try:
            while (await _request(cluster, "host-0", "a0"))[0] != 200:
                await asyncio.sleep(0.05)
            while (await _request(cluster, "host-1", "a0"))[0] != 200:
                await asyncio.sleep(0.05)
            await scenario(cluster)
        finally:
            await cluster.stop()

    asyncio.run(asyncio.wait_for(run(), 60.0))
    return cluster


async def _request(cluster: RouterCluster, host: str, adapter: str) -> tuple[int, str]:
    return await call_router(cluster.addresses[host], adapter, f"q-{adapter}-{host}")


def test_the_demo_serves_every_request() -> None:
    assert asyncio.run(RouterDemo().run())


def test_each_engine_has_one_holder() -> None:
    async def scenario(cluster: RouterCluster) -> None:
        for number in range(12):
            for host in cluster.addresses:
                status, body = await _request(cluster, host, f"a{number}")
                assert status == 200
                assert f'"adapter": "a{number}"' in body

    cluster = _run(scenario)
    for engine in cluster.engines.values():
        assert len(set(engine.command_senders)) <= 1
        assert engine.excess_loads == 0


def test_loaded_adapters_are_served_while_the_store_is_unavailable() -> None:
    async def scenario(cluster: RouterCluster) -> None:
        cluster.store.set_unavailable(is_unavailable=True)
        for host in cluster.addresses:
            assert (await _request(cluster, host, "a0"))[0] == 200
        cluster.store.set_unavailable(is_unavailable=False)
        assert (await _request(cluster, "host-0", "a1"))[0] == 200

    _run(scenario)


def test_a_stopping_host_cuts_no_request_while_the_other_keeps_serving() -> None:
    async def scenario(cluster: RouterCluster) -> None:
        stopping = asyncio.create_task(cluster.stop_host("host-0"))
        for _ in range(5):
            assert (await _request(cluster, "host-1", "a0"))[0] == 200
        assert await stopping == 0
        assert (await _request(cluster, "host-1", "a0"))[0] == 200

    _run(scenario)


def test_metrics_count_the_outcomes_of_requests() -> None:
    async def scenario(cluster: RouterCluster) -> None:
        address = cluster.metrics_addresses["host-0"]
        reader, writer = await asyncio.open_connection(*address.rsplit(":", 1))
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
        text = (await reader.readexactly(length)).decode()
        writer.close()
        served = 'gooseberry_router_attempts_total{outcome="served"}'
        assert served in text
        assert 'gooseberry_router_state{name="servers"} 2' in text
        assert "gooseberry_router_wait_seconds" in text

    _run(scenario)
