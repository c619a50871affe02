"""Describe what the system tells a backend server with a request."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import ServerId


@dataclass(frozen=True, slots=True)
class ForwardFacts:
    """Hold the fields that the system itself adds to a forwarded request.

    ``seconds_left`` is the time until the caller or the route gives up. ``rank`` is 0
    for the most urgent request. ``after_event`` continues a stream behind that event.
    """

    server: ServerId
    seconds_left: float
    rank: int | None = None
    adapter_version: int = 0
    after_event: str | None = None
    keeps_caller_event: bool = False
