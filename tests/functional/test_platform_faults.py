"""Serve while the platform is down, slow or loses answers."""

import asyncio

import pytest

from gooseberrydeal._internal.lab.lab_plan import LabPlan
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from tests.lib.answers import is_whole, refusal_of
from tests.lib.fake_store import StoreFault
from tests.lib.virtual_loop import run_virtual
from tests.lib.world import World


def _set_down(world: World, *, is_down: bool) -> None:
    for host in world.hosts.values():
        host.session.is_down = is_down


def test_owners_go_on_while_the_platform_is_down() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        _set_down(world, is_down=True)
        world.host_list.is_down = True
        await asyncio.sleep(60)
        for host in world.hosts.values():
            own = host.keeper.context.view.hosts[host.keeper.context.host]
            assert "platform_unreachable" in own.alarms
        for number in range(12):
            events = await world.ask(f"a{number:05d}", prompt="down")
            assert is_whole(events)
        await world.stop()

    run_virtual(scenario())


def test_repeatable_work_goes_on_and_other_work_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        world = World()
        await world.start()
        assert world.entry is not None
        _set_down(world, is_down=True)
        await asyncio.sleep(10)
        calls = world.entry.plain_calls
        key = world.key("outage01")
        refused = await calls.run(world.plain_order(b"1"), key)
        refusal = refusal_of([refused])
        assert refusal.reason is RefusalReason.CLAIMS_UNAVAILABLE
        assert refusal.ran is Ran.NO
        assert world.booked() == []
        balance = await calls.run(world.plain_order(b"2", "balance"), None)
        assert not hasattr(balance, "refusal")
        _set_down(world, is_down=False)
        await asyncio.sleep(10)
        again = await calls.run(world.plain_order(b"1"), key)
        assert not hasattr(again, "refusal")
        assert world.booked().count(b"1") == 1
        await world.stop()

    run_virtual(scenario())


def test_a_node_that_starts_in_an_outage_learns_the_configuration() -> None:
    async def scenario() -> None:
        plan = LabPlan(domains=("d1",), engines_per_domain=2, adapters=20)
        world = World(hosts={"h1": "d1", "h2": "d1", "h3": "d1"}, plan=plan)
        await world.submit()
        await world.start_keeper("h1")
        await world.start_keeper("h2")
        await world.start_entry()
        await asyncio.sleep(8)
        _set_down(world, is_down=True)
        late = await world.start_keeper("h3")
        late.session.is_down = True
        await asyncio.sleep(6)
        assert late.keeper.configuration.number == 1
        await world.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("number", range(1, 15))
def test_any_fault_at_any_write_of_a_start_leaves_one_owner(
    fault: StoreFault, number: int
) -> None:
    async def scenario() -> None:
        world = World()
        await world.submit()
        first = await world.start_keeper("h1")
        first.session.write_faults[number] = fault
        second = await world.start_keeper("h2")
        second.session.write_faults[number] = fault
        await world.start_entry()
        await world.wait_ready(60)
        await asyncio.sleep(6)
        owners = [set(h.keeper.owners) for h in world.hosts.values()]
        assert not owners[0] & owners[1]
        assert owners[0] | owners[1] == set(world.names)
        assert is_whole(await world.ask(prompt="after"))
        await world.stop()

    run_virtual(scenario())


@pytest.mark.parametrize("fault", list(StoreFault))
@pytest.mark.parametrize("number", range(1, 25, 2))
def test_any_fault_at_any_call_of_a_start_is_survived(
    fault: StoreFault, number: int
) -> None:
    async def scenario() -> None:
        world = World()
        await world.submit()
        first = await world.start_keeper("h1")
        first.session.faults[number] = fault
        await world.start_keeper("h2")
        await world.start_entry()
        await world.wait_ready(60)
        assert is_whole(await world.ask(prompt="after"))
        await world.stop()

    run_virtual(scenario())
