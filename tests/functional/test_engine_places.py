"""Test that hosts share the places of engines, the most urgent request first."""

import asyncio
import json
from collections.abc import Callable

import pytest

from gooseberrydeal._internal.lab.router.adapter_engine_app import AdapterEngineApp
from gooseberrydeal._internal.lab.router.router_cluster import RouterCluster
from gooseberrydeal._internal.lab.router.router_demo import call_router
from gooseberrydeal._internal.operations.router.waiting import admission_queues
from tests.lib.shared_engines import DEFERRED, SLOTS, URGENT, SharedEngines
from tests.lib.virtual_loop import run_virtual

# That of an engine in tests/lib/routing_builders.py.
_TOKEN_CAPACITY = 150_000


@pytest.fixture(autouse=True)
def queue_with_few_hosts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let services have a queue in deployments as small as those played here."""
    monkeypatch.setattr(admission_queues, "_MIN_HOSTS_FOR_RANKS", 0)


def _play(
    urgent: float,
    deferred: float,
    *,
    has_places: bool = True,
    tokens: int = 70,
    loses: Callable[[SharedEngines], bool] = lambda world: False,
) -> SharedEngines:
    """Return the world after a burst of 4 s; rates are parts of the capacity."""

    async def play() -> SharedEngines:
        world = SharedEngines(has_places=has_places)
        world.loses = lambda: loses(world)
        await asyncio.sleep(0.3)
        await asyncio.gather(
            world.load(URGENT, [0.4, *[urgent] * 4, 0.4, 0.4, 0.4], tokens),
            world.load(DEFERRED, [deferred] * 5, tokens),
        )
        world.stop()
        return world

    return run_virtual(play())


def test_urgent_requests_get_the_places_of_all_hosts_first() -> None:
    # Guards against requests that wait inside engines, where no rank counts.
    polled, world = _play(0.9, 0.3, has_places=False), _play(0.9, 0.3)
    assert polled.share("urgent", "in_time") < 0.9
    assert world.share("urgent", "in_time") > 0.97
    assert world.share("deferred", "refused") == 0.0
    assert world.most_requests < 2 * SLOTS + 1 < polled.most_requests


@pytest.mark.parametrize("lost", [0.03, 1.0])
def test_lost_messages_make_nothing_worse_than_without_places(lost: float) -> None:
    # Guards against places that are lost, and keepers that are waited for in vain.
    polled = _play(0.9, 0.3, has_places=False)
    world = _play(0.9, 0.3, loses=lambda world: world.rng.random() < lost)
    assert world.share("urgent", "in_time") > polled.share("urgent", "in_time") - 0.05


def test_the_requests_of_all_hosts_fit_into_the_memory_of_an_engine() -> None:
    # Guards against engines that end since their requests exceed their memory. Eight
    # of these requests fit, and engines of ten slots are filled to nine.
    polled = _play(1.5, 0.1, has_places=False, tokens=18_000)
    world = _play(1.5, 0.1, tokens=18_000)
    assert world.most_tokens <= _TOKEN_CAPACITY < polled.most_tokens


def test_real_hosts_ask_for_places_at_engines(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against places that are never asked for, or never given back.
    entry, decode = AdapterEngineApp.entry, RouterCluster._configuration

    def small_entry(self: AdapterEngineApp, *arguments: str) -> bytes:
        return json.dumps(json.loads(entry(self, *arguments)) | {"slots": 3}).encode()

    def ranked_configuration(self: RouterCluster) -> bytes:
        data = json.loads(decode(self))
        later = data["routes"][0] | {"pathPrefix": "/later/", "priority": 2}
        data["routes"].append(later)
        return json.dumps(data).encode()

    monkeypatch.setattr(AdapterEngineApp, "entry", small_entry)
    monkeypatch.setattr(RouterCluster, "_configuration", ranked_configuration)

    async def run() -> tuple[list[int], str]:
        cluster = RouterCluster(hosts=3, engines=2, slots=3)
        await cluster.start()
        try:
            addresses = list(cluster.addresses.values())
            for address in addresses:
                while (await call_router(address, "a0", "first"))[0] != 200:
                    await asyncio.sleep(0.05)
            calls = [
                call_router(addresses[number % 3], "a0", f"q{number}")
                for number in range(90)
            ]
            answers = await asyncio.gather(*calls)
            nodes = cluster._nodes.values()
            metrics = "".join(node._metrics.render().decode() for node in nodes)
            return [status for status, _ in answers], metrics
        finally:
            await cluster.stop()

    statuses, metrics = asyncio.run(asyncio.wait_for(run(), 60.0))
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) > 45
    assert 'places_total{outcome="granted' in metrics
