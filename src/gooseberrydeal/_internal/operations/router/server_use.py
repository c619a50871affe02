"""Count a request at its server while it is there."""

from collections.abc import Callable
from types import TracebackType
from typing import Self

from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.brittle_servers import BrittleServers
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_callbacks import ServerCallbacks


class ServerUse:
    """Add a request to its server's load on entry, and remove it on exit.

    Its prompt counts as awaiting prefill, and the request as waiting, until the
    response starts.
    """

    def __init__(
        self,
        assignment: Assignment,
        request: RoutedRequest,
        brittle: BrittleServers,
        callbacks: ServerCallbacks,
        clock: Callable[[], float],
    ) -> None:
        self._record = assignment.record
        self._copy = assignment.copy
        self._request = request
        self._tokens = request.tokens
        self._unread_tokens = request.attributes.prompt_tokens
        self._brittle = brittle
        self._callbacks = callbacks
        self._clock = clock
        self._wait = 0

    def __enter__(self) -> Self:
        """Count the request as one that waits for its response."""
        self._record.begin(self._copy, self._tokens, self._unread_tokens)
        self._wait = self._record.waits.begin(self._clock())
        self._callbacks.usage_changed(self._record)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stop counting the request, however it ended."""
        self.response_started(has_begun=False)
        if self._record.end(self._copy, self._tokens):
            self._callbacks.copy_released(self._record)
        self._brittle.place_released(self._record)
        self._request.release_place()

    def response_started(self, *, has_begun: bool) -> None:
        """Stop counting the prompt; ``has_begun`` tells whether the request runs."""
        self._record.waits.end(self._wait, self._clock(), has_begun=has_begun)
        if self._unread_tokens:
            self._record.load.remove_pending_prefill(self._unread_tokens)
            self._unread_tokens = 0
            self._callbacks.usage_changed(self._record)
