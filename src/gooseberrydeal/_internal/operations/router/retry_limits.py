"""Decide how long a request waits for a retry."""

import asyncio
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest

RetryBudget = Callable[[RoutedRequest], bool]

# An exhausted retry budget allows retries again as its window slides.
_BUDGET_RECHECK_SECONDS: Final = 0.1


async def wait_for_retry_budget(
    request: RoutedRequest, consume_retry: RetryBudget, clock: Callable[[], float]
) -> bool:
    """Wait for retry budget; return false if the target latency passes before.

    A retry that the request has already got from the budget is used first.
    """
    if request.has_retry:
        request.has_retry = False
        return True
    retry_until = request.arrived_at + request.route.target_latency
    while not consume_retry(request):
        if clock() >= retry_until:
            return False
        await asyncio.sleep(_BUDGET_RECHECK_SECONDS)
    return True
