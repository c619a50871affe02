"""Define the metadata read from a backend server's response."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.slowdown import NORMAL_SLOWDOWN


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Hold the load that a server reports.

    ``slots`` is how many requests it can run at once. ``slowdown`` is the ratio of
    its latency to normal: 1.0 is normal, more is slower.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = NORMAL_SLOWDOWN


@dataclass(frozen=True, slots=True)
class ResponseAttributes:
    """Hold the header values that determine how a response is handled.

    ``is_not_run`` is set if the server states that it did not start the request.
    ``request_limit`` is the number of requests per second that it takes from all hosts
    together, ``None`` if it states none; ``has_invalid_limit`` is set if it states one
    that cannot be read, and ``has_invalid_load`` if that is so of its load.
    ``is_leaving`` is set if the server states that it leaves.
    ``wait_seconds`` is for how long it wants no requests from this host, ``None`` if it
    does not ask for a wait. ``is_brittle`` is set if the server states that it falls
    over when it turns requests away.
    """

    request_id: str | None
    is_not_run: bool
    is_event_stream: bool
    load: ReportedLoad | None = None
    request_limit: float | None = None
    has_invalid_limit: bool = False
    is_leaving: bool = False
    wait_seconds: float | None = None
    is_brittle: bool = False
    has_invalid_load: bool = False
