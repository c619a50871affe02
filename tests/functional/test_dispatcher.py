"""Check the handling of requests that cannot be assigned at once."""

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.router.assignment import NoAssignment
from tests.lib.dispatch_world import DispatcherHarness
from tests.lib.routing_builders import route
from tests.lib.virtual_loop import run_virtual


def test_a_request_is_refused_while_its_caller_can_still_retry() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.set_ready_copies()
        arrived = harness.now()
        short_timeout_route = route(target_latency=0.8, caller_idle_timeout=3.2)
        refusal = await harness.assign(short_timeout_route, 10.0)
        assert isinstance(refusal, NoAssignment)
        assert refusal.reason is RefusalReason.LOAD_FAILED
        assert harness.now() - arrived < short_timeout_route.caller_idle_timeout
        # A caller that retries after the given delay still has half of its total time
        # left, and its idle timeout starts again.
        assert harness.now() + refusal.retry_after - arrived < 10.0 / 2

    run_virtual(scenario())
