"""Check that hosts know, or say that they do not know, where a stream began."""

import asyncio
from collections.abc import Awaitable, Callable

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from tests.lib.routing_builders import LANGUAGE, server_entry
from tests.lib.stream_world import (
    ROUTE_TIMEOUT_SECONDS,
    StreamHost,
    StreamNetwork,
    register,
)
from tests.lib.virtual_loop import run_virtual

# Longer than streams of the route last.
_LONG_SECONDS = 2 * ROUTE_TIMEOUT_SECONDS
_DATAGRAM_SECONDS = 0.01
# The users' size and bounds on control traffic, and the streams of one host there.
_HOSTS = 340
_MAX_BYTES_PER_SECOND = 23_000
_STREAMS_PER_SECOND = 2900 / _HOSTS
_UDP_HEADER_BYTES = 28

Scenario = Callable[[StreamNetwork, list[StreamHost]], Awaitable[None]]


def _run(
    scenario: Scenario,
    hosts: int = 4,
    domains: int = 2,
    versions: tuple[str | None, ...] = ("v1", "v2"),
) -> None:
    async def run() -> None:
        network = StreamNetwork()
        started = [StreamHost(n, network, domains, versions) for n in range(hosts)]
        try:
            await scenario(network, started)
        finally:
            for host in started:
                await host.versions.stop()

    run_virtual(run())


def test_all_hosts_know_the_version_of_a_stream_that_another_host_relayed() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        for number in range(40):
            hosts[number % 4].begin(f"q{number}", server=number % 2)
        await asyncio.sleep(_DATAGRAM_SECONDS)
        for number in range(40):
            expected = f"v{number % 2 + 1}"
            for host in hosts:
                assert await host.find(f"q{number}") == expected

    _run(scenario)


def test_the_version_is_known_when_the_first_host_ends_right_after_the_event() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        for number in range(20):
            hosts[0].begin(f"q{number}", server=1)
        await hosts[0].kill()
        for number in range(20):
            for host in hosts[1:]:
                assert await host.find(f"q{number}") == "v2"

    _run(scenario)


def test_a_host_that_is_cut_off_does_not_guess_and_answers_at_once() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        loop = asyncio.get_running_loop()
        network.cut = {hosts[3].address}
        hosts[0].begin("q1")
        await asyncio.sleep(_LONG_SECONDS)
        asked_at = loop.time()
        assert await hosts[3].find("q1") is None
        assert loop.time() - asked_at < 0.4

    _run(scenario)


def test_hosts_that_all_started_just_now_do_not_take_the_only_version() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        hosts[0].read_store()
        assert await hosts[0].find("q1") is None
        await asyncio.sleep(_LONG_SECONDS)
        assert await hosts[0].find("q1") is None
        hosts[0].read_store()
        assert await hosts[0].find("q1") == "v1"

    _run(scenario, versions=("v1", "v1"))


def test_a_version_that_ended_a_moment_ago_is_not_forgotten() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        await asyncio.sleep(_LONG_SECONDS)
        hosts[0].servers.remove(server_entry("i-1").id)
        hosts[0].read_store()
        assert await hosts[0].find("q1") is None
        await asyncio.sleep(_LONG_SECONDS)
        hosts[0].read_store()
        assert await hosts[0].find("q1") == "v1"

    _run(scenario)


def test_a_version_that_a_host_has_not_read_yet_is_not_overlooked() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        loop = asyncio.get_running_loop()
        for number in range(2):
            register(network, number, "v1")
        await asyncio.sleep(_LONG_SECONDS)
        for host in hosts:
            host.read_store()
        network.cut = {hosts[3].address}
        assert await hosts[3].find("q1") == "v1"
        register(network, 2, "v2")
        hosts[0].put_server(2, "v2")
        hosts[0].begin("q1", server=2)
        asked_at = loop.time()
        assert await hosts[3].find("q1") is None
        assert loop.time() - asked_at < 0.4
        hosts[2].store.is_silent = True
        asked_at = loop.time()
        assert await hosts[2].find("q2") is None
        assert loop.time() - asked_at < 0.6

    _run(scenario, versions=("v1", "v1"))


def test_a_stream_is_known_to_a_host_that_does_not_see_its_version() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        hosts[0].put_server(2, "v3")
        await asyncio.sleep(_LONG_SECONDS)
        hosts[0].begin("q1", server=2)
        await asyncio.sleep(_DATAGRAM_SECONDS)
        hosts[3].read_store()
        assert await hosts[3].find("q1") == "v3"

    _run(scenario)


def test_servers_without_a_version_are_not_taken_for_the_same() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        await asyncio.sleep(_LONG_SECONDS)
        hosts[0].read_store()
        origin = hosts[0].begin("q1")
        assert hosts[0].servers.get(server_entry("i-0").id) is not None
        assert server_entry("i-0").can_continue(origin)
        assert not server_entry("i-0", started_at=2).can_continue(origin)
        assert not server_entry("i-1").can_continue(origin)
        assert await hosts[0].find("q2") is None

    _run(scenario, versions=(None, None))


def test_a_stream_of_a_server_that_turns_out_to_have_restarted_has_no_version() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        hosts[0].begin("q1", is_certain=False)
        hosts[0].begin("q2", server=1, is_certain=False)
        hosts[0].begin("q3")
        register(network, 0, "v2", started_at=2)
        # Another version may have run between two starts of the same one.
        register(network, 1, "v2", started_at=2)
        await asyncio.sleep(_DATAGRAM_SECONDS)
        for host in hosts:
            assert await host.find("q1") is None
            assert await host.find("q2") is None
            assert await host.find("q3") == "v1"

    _run(scenario)


def test_a_stream_of_a_server_that_may_have_restarted_is_confirmed_by_its_entry() -> (
    None
):
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        for number in range(2):
            register(network, number, f"v{number + 1}")
            hosts[0].begin(f"q{number}", server=number, is_certain=False)
        await asyncio.sleep(_DATAGRAM_SECONDS)
        for host in hosts:
            assert await host.find("q0") == "v1"
            assert await host.find("q1") == "v2"

    _run(scenario)


def test_a_stream_of_a_server_that_may_have_restarted_and_left_is_refused() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        await asyncio.sleep(1.0)
        hosts[0].begin("q1", is_certain=False)
        await asyncio.sleep(_DATAGRAM_SECONDS)
        # Between two polls the server may have started again, registered and left.
        for host in hosts[1:]:
            host.servers.remove(server_entry("i-0").id)
            assert await host.find("q1") is None

    _run(scenario)


def test_a_version_that_was_registered_for_a_moment_only_is_not_forgotten() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        await asyncio.sleep(_LONG_SECONDS)
        hosts[0].read_store()
        assert await hosts[0].find("q1") == "v1"
        hosts[0].put_server(2, "v2")
        hosts[0].servers.remove(server_entry("i-2").id)
        assert await hosts[0].find("q1") is None

    _run(scenario, versions=("v1", "v1"))


def test_a_host_that_missed_changes_does_not_take_the_only_version() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_LONG_SECONDS)
        hosts[0].read_store()
        hosts[0].view.listed_at = loop.time()
        assert await hosts[0].find("q1") is None
        await asyncio.sleep(_LONG_SECONDS)
        hosts[0].read_store()
        assert await hosts[0].find("q1") == "v1"

    _run(scenario, versions=("v1", "v1"))


def test_a_stream_of_a_server_that_may_have_restarted_is_refused_at_once_if_cut() -> (
    None
):
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        loop = asyncio.get_running_loop()
        register(network, 0, "v1")
        hosts[0].begin("q1", is_certain=False)
        await asyncio.sleep(_DATAGRAM_SECONDS)
        hosts[1].store.is_cut = True
        asked_at = loop.time()
        assert await hosts[1].find("q1") is None
        assert loop.time() - asked_at < 0.3
        hosts[2].store.is_silent = True
        assert await hosts[2].find("q1") is None
        assert await hosts[3].find("q1") == "v1"

    _run(scenario)


def test_a_restarted_server_without_a_version_does_not_go_on_with_its_streams() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        for number, started_at in enumerate((1, 2)):
            register(network, number, None, started_at)
            hosts[0].begin(f"q{number}", server=number, is_certain=False)
        origins = [
            await hosts[1].versions.find(RequestId(f"q{number}"), [LANGUAGE], 1.0)
            for number in range(2)
        ]
        assert origins[0] is not None
        assert origins[1] is None

    _run(scenario, versions=(None, None))


def test_a_stream_of_a_route_with_several_services_stays_with_its_service() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        origin = hosts[0].begin("q1")
        other = server_entry("i-9", service="plain", software_version=origin.version)
        assert origin.service == LANGUAGE
        assert not other.can_continue(origin)
        assert isinstance(origin, StreamOrigin)

    _run(scenario)


def test_messages_and_memory_stay_small_with_many_hosts() -> None:
    async def scenario(network: StreamNetwork, hosts: list[StreamHost]) -> None:
        seconds = 10
        for number in range(int(_STREAMS_PER_SECOND * seconds)):
            hosts[0].begin(f"{number:016x}")
        address = hosts[0].address
        sent = network.sent_bytes[address] + _UDP_HEADER_BYTES * network.sent[address]
        assert sent / seconds < _MAX_BYTES_PER_SECOND / 4
        sent_before = network.sent[address]
        assert await hosts[0].find("unknown") is None
        assert network.sent[address] - sent_before <= 5 * 3

    _run(scenario, hosts=_HOSTS, domains=5)
