"""Check that all hosts refuse a part of prompts that crashes engines, and no other."""

import asyncio

from tests.lib.crash_hosts import run_hosts
from tests.lib.crash_world import CrashHost, CrashNetwork
from tests.lib.fake_metadata_store import StoreData

# The platform's bound on how long hosts may go on sending requests with such a part.
_STABLE_WINDOW_SECONDS = 3.0
_REFUSAL_SECONDS = 120.0
_TURN_SECONDS = 15.0


async def _crash_three(host: CrashHost) -> None:
    host.answer("first", "m9")
    for number in range(3):
        host.crash_with_parts(number, ("first", "bad"), ("first", f"m{number}"))
        await asyncio.sleep(0.1)


def test_a_part_is_refused_whichever_hosts_its_requests_came_to() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        hosts[0].answer("first", "m9")
        for number, host in enumerate(hosts):
            assert not host.refuses_part("first", "bad")
            host.crash_with_parts(number, ("first", "bad"))
            await asyncio.sleep(0.01)
        assert all(host.refuses_part("first", "bad") for host in hosts)
        assert not any(host.refuses_part("first", "m1") for host in hosts)

    run_hosts(scenario)


def test_the_first_part_of_all_prompts_is_not_refused_while_no_engine_is_left() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        hosts[1].answer("first", "m9")
        await asyncio.sleep(10.0)
        for number in range(10):
            bad = f"bad{number % 2}"
            for host in hosts:
                host.crash_with_parts(number, ("first", bad), ("first", f"m{number}"))
            await asyncio.sleep(0.1)
        assert all(host.refuses_part("first", bad) for host in hosts)
        assert not any(host.refuses_part("first", "m2") for host in hosts)

    run_hosts(scenario)


def test_a_first_part_that_was_never_answered_is_refused() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        for number in range(4):
            hosts[0].answer("first", "m1")
            hosts[0].crash_with_parts(number, ("bad", f"m{number}"), ("first", "m1"))
        await asyncio.sleep(0.1)
        assert all(host.refuses_part("bad", "m9") for host in hosts)
        assert not any(
            host.refuses_part("first", f"m{n}") for n in range(4) for host in hosts
        )

    run_hosts(scenario)


def test_cut_off_domains_and_hosts_without_store_learn_of_a_part() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        network.cut_domains = {"d0", "d1", "d2"}
        await _crash_three(hosts[0])
        await asyncio.sleep(_STABLE_WINDOW_SECONDS)
        assert all(host.refuses_part("x", "bad") for host in hosts)
        network.cut_domains = set()
        hosts[0].store.is_cut = True
        for number in range(10, 13):
            hosts[0].crash_with_parts(number, ("first", "worse"))
        await asyncio.sleep(_STABLE_WINDOW_SECONDS)
        assert all(host.refuses_part("x", "worse") for host in hosts)

    run_hosts(scenario, domains=3)


def test_restarted_and_new_hosts_refuse_a_known_part() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        await _crash_three(hosts[0])
        await asyncio.sleep(_STABLE_WINDOW_SECONDS)
        for host in list(hosts):
            await host.kill()
        hosts[:] = [
            CrashHost("h0", data, network, incarnation=2).start(),
            CrashHost("h7", data, network).start(),
        ]
        await asyncio.sleep(0.1)
        assert all(host.refuses_part("x", "bad") for host in hosts)

    run_hosts(scenario)


def test_one_request_at_a_time_tests_a_part_after_its_refusal() -> None:
    async def scenario(
        data: StoreData, network: CrashNetwork, hosts: list[CrashHost]
    ) -> None:
        await _crash_three(hosts[0])
        await asyncio.sleep(_REFUSAL_SECONDS)
        tested = [host for host in hosts * 3 if not host.refuses_part("x", "bad")]
        assert len(tested) == 1
        tested[0].crash_with_parts(9, ("x", "bad"))
        await asyncio.sleep(_REFUSAL_SECONDS + _TURN_SECONDS)
        assert all(host.refuses_part("x", "bad") for host in hosts)
        await asyncio.sleep(_REFUSAL_SECONDS)
        tested = [host for host in hosts * 3 if not host.refuses_part("x", "bad")]
        assert len(tested) == 1
        tested[0].answer("x", "bad")
        await asyncio.sleep(0.1)
        assert not any(host.refuses_part("x", "bad") for host in hosts * 3)

    run_hosts(scenario)
