"""Check what hosts make of servers that say that they are brittle."""

import asyncio

import pytest

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.operations.router.brittle_servers import BrittleServers
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.server_table import ServerTable
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from tests.lib.routing_builders import PLAIN, configuration, server_entry

_SLOTS = 4


class _World:
    """Hold two servers, the clock, and one host of two."""

    def __init__(self) -> None:
        self.now = 100.0
        self.hosts = [HostId("h1"), HostId("h2")]
        self.servers = ServerTable(lambda: self.now)
        self.servers.configure(configuration())
        for name in ("p-0", "p-1"):
            self.start(name, 1)
        self.brittle = BrittleServers(
            self.servers, HostId("h1"), lambda: self.hosts, lambda: self.now
        )

    def start(self, name: str, started_at: int) -> None:
        self.servers.put(
            server_entry(name, service=PLAIN, slots=_SLOTS, started_at=started_at)
        )

    def record(self, name: str) -> ServerRecord:
        record = self.servers.get(ServerId(name))
        assert record is not None
        return record

    def answer(
        self, name: str, *, is_brittle: bool = True, is_not_run: bool = False
    ) -> None:
        """Receive a response to a request that was sent just before."""
        attributes = ResponseAttributes(
            "q1", is_not_run, is_event_stream=False, is_brittle=is_brittle
        )
        self.brittle.response_received(self.record(name), attributes, self.now - 0.1)

    def places(self, name: str) -> int:
        """Return how many requests may be sent, and leave them there."""
        record = self.record(name)
        count = 0
        while self.brittle.has_place(record) and count < 100:
            record.load.begin(0)
            count += 1
        return count


def test_servers_that_say_nothing_are_not_limited() -> None:
    assert _World().places("p-0") == 100


def test_a_host_uses_its_part_of_the_places_at_all_servers_of_the_service() -> None:
    world = _World()
    world.answer("p-0")
    assert world.places("p-0") == _SLOTS // 2
    # This one has not said anything since it started.
    assert world.places("p-1") == _SLOTS // 2


def test_a_server_that_is_not_brittle_itself_is_not_limited() -> None:
    world = _World()
    world.answer("p-0")
    world.now += 1.0
    world.answer("p-1", is_brittle=False)
    assert world.places("p-1") == 100
    assert world.places("p-0") == _SLOTS // 2


def test_a_server_that_starts_again_counts_as_brittle_while_another_one_is() -> None:
    world = _World()
    world.answer("p-0")
    world.answer("p-1")
    world.start("p-1", 2)
    assert world.places("p-1") == _SLOTS // 2


def test_a_host_that_joins_gets_places_of_the_others() -> None:
    world = _World()
    world.answer("p-0")
    world.hosts += [HostId("h3"), HostId("h4")]
    world.now += 1.0
    assert world.places("p-0") + world.places("p-1") == _SLOTS // 2


def test_a_notice_ends_with_a_later_response_without_it() -> None:
    world = _World()
    world.answer("p-0")
    world.answer("p-0", is_brittle=False)
    assert world.places("p-0") == _SLOTS // 2
    world.now += 1.0
    world.answer("p-0", is_brittle=False)
    assert world.places("p-0") == 100


def test_a_notice_that_nothing_confirms_is_forgotten() -> None:
    world = _World()
    world.answer("p-0")
    world.now += 11.0
    assert world.places("p-0") == 100


def test_a_server_that_turned_a_request_away_gets_none_for_a_second() -> None:
    world = _World()
    world.answer("p-0", is_not_run=True)
    assert world.places("p-0") == 0
    world.now += 1.1
    assert world.places("p-0") == _SLOTS // 2


def test_a_request_that_was_given_up_keeps_its_place_for_a_while() -> None:
    world = _World()
    world.answer("p-0")
    world.brittle.abandoned(world.record("p-0"))
    assert world.places("p-0") == _SLOTS // 2 - 1
    world.now += 0.6
    assert world.brittle.has_place(world.record("p-0"))


def test_no_more_requests_wait_than_the_host_has_places() -> None:
    async def run() -> None:
        world = _World()
        world.answer("p-0")
        waiting = [
            asyncio.create_task(world.brittle.wait_for_place(PLAIN, world.now + 9.0))
            for _ in range(_SLOTS)
        ]
        await asyncio.sleep(0)
        assert not await world.brittle.wait_for_place(PLAIN, world.now + 9.0)
        for _ in waiting:
            world.brittle.place_released(world.record("p-0"))
        assert await asyncio.gather(*waiting) == [True] * _SLOTS

    asyncio.run(asyncio.wait_for(run(), 5.0))


@pytest.mark.parametrize("value", [b"3", b"0", b"-1", b"x", b"", b"9" * 40])
def test_any_value_of_the_notice_means_that_the_server_is_brittle(value: bytes) -> None:
    head = ResponseHead(200, b"OK", ((b"Server-Brittle", value),))
    assert PlatformRelayCodec().read_response(head).is_brittle


def test_without_the_notice_a_server_is_not_brittle() -> None:
    assert (
        not PlatformRelayCodec().read_response(ResponseHead(200, b"OK", ())).is_brittle
    )
