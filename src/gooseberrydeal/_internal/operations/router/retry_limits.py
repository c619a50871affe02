"""Decide how long a request waits for a retry, and for a silent server."""

import asyncio
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.operations.router.attempt import Attempt
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest

RetryBudget = Callable[[RoutedRequest], bool]

# An exhausted retry budget allows retries again as its window slides.
_BUDGET_RECHECK_SECONDS: Final = 0.1
# An attempt is aborted if the server sends nothing for this multiple of the route's
# target latency, though no sooner than the minimum, and another server may run the
# request.
_IDLE_TIMEOUT_TARGET_LATENCIES: Final = 2.0
_MIN_IDLE_TIMEOUT_SECONDS: Final = 0.3


async def wait_for_outcome(
    attempt: Attempt, route: Route, *, can_run_again: bool
) -> AttemptOutcome:
    """Wait for the outcome, with an idle timeout if another server may run it."""
    if not can_run_again:
        return await attempt.outcome()
    timeout = _IDLE_TIMEOUT_TARGET_LATENCIES * route.target_latency
    return await attempt.outcome_with_idle_timeout(
        max(_MIN_IDLE_TIMEOUT_SECONDS, timeout)
    )


async def wait_for_retry_budget(
    request: RoutedRequest, consume_retry: RetryBudget, clock: Callable[[], float]
) -> bool:
    """Wait for retry budget; return false if the target latency passes before."""
    retry_until = request.arrived_at + request.route.target_latency
    while not consume_retry(request):
        if clock() >= retry_until:
            return False
        await asyncio.sleep(_BUDGET_RECHECK_SECONDS)
    return True
