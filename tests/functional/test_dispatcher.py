"""Check what a host decides for requests that can't be sent at once."""

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.router.assignment import NoAssignment
from tests.lib.dispatch_world import DispatchWorld
from tests.lib.routing_builders import route
from tests.lib.virtual_loop import run_virtual


def test_a_request_is_refused_while_its_caller_can_still_come_back() -> None:
    async def play() -> None:
        world = DispatchWorld()
        world.hold()
        arrived = world.now()
        short_timeout = route(target_latency=0.8, caller_idle_timeout=3.2)
        found = await world.assign(short_timeout, 10.0)
        assert isinstance(found, NoAssignment)
        assert found.reason is RefusalReason.LOAD_FAILED
        assert world.now() - arrived < short_timeout.caller_idle_timeout
        # A caller that retries after ``retry_after`` still has half of its total time,
        # and its idle timeout starts again.
        assert world.now() + found.retry_after - arrived < 10.0 / 2

    run_virtual(play())
