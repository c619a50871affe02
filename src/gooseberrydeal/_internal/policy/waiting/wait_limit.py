"""Decide how long a request may wait before it is sent."""

from typing import Final

from gooseberrydeal._internal.models.routing.route import Route

# Responses of engines take about as long as their route's target latency, and at least
# this time.
_MIN_RESPONSE_SECONDS: Final = 0.3
# The first event comes within this fraction of the target latency after the send, as
# measured on engines that take requests.
_FIRST_EVENT_FRACTION: Final = 0.5


def latest_send(route: Route, arrived_at: float, deadline: float) -> float:
    """Return until when it is of use to send a request.

    Its response must end before the deadline, and begin before a caller of a stream
    gives up that receives nothing.
    """
    target = route.target_latency
    before_deadline = deadline - max(target, _MIN_RESPONSE_SECONDS)
    first_event = max(target * _FIRST_EVENT_FRACTION, _MIN_RESPONSE_SECONDS)
    return min(before_deadline, arrived_at + route.caller_idle_timeout - first_event)
