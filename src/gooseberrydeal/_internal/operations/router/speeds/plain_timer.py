"""Time one response of a plain server."""

from collections.abc import Callable
from http import HTTPStatus

from gooseberrydeal._internal.operations.router.assignment import Assignment


class PlainTimer:
    """Observe how long a plain server takes to begin its response.

    Created at the send, when the server's load includes the request.
    """

    def __init__(self, assignment: Assignment, clock: Callable[[], float]) -> None:
        self._record = assignment.record
        self._clock = clock
        self._sent_at = clock()
        self._requests = self._record.load.requests(self._sent_at)

    def head_received(self, status: int, slowdown: float) -> None:
        """Add the response to the estimate, unless the server turned it away."""
        if status >= HTTPStatus.BAD_REQUEST:
            return
        now = self._clock()
        self._record.service_time.observe(
            now - self._sent_at,
            self._requests,
            self._record.entry.slots,
            slowdown,
            now,
        )

    def events_received(self, count: int) -> None:
        """Ignore events, which say nothing of a plain server's work."""

    def finish(self) -> None:
        """Do nothing: the response was observed when it began."""
