"""Describe what the system reads from a backend server's response."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Hold a server's load; ``pace`` is 1.0 where work takes as long as usual."""

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class ReplyFacts:
    """Hold the fields that decide what a response means.

    ``is_not_run`` is the server's word that it did not begin the request.
    """

    request_id: str | None
    is_not_run: bool
    is_event_stream: bool
    load: ReportedLoad | None = None
