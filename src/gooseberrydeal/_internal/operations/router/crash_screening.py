"""Apply the protection from crashing requests to one request."""

from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.router.crash_protection import (
    CrashProtection,
)
from gooseberrydeal._internal.operations.router.failed_reply import FailedReply
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.isolation_turns import Turn
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

# Servers start again within a few seconds; other isolated runs take far less.
_HELD_RETRY_AFTER_SECONDS: Final = 1.0
_BUSY_RETRY_AFTER_SECONDS: Final = 0.4


class CrashScreening:
    """Refuse a request that crashes servers, and report what became of it."""

    def __init__(
        self,
        request: RoutedRequest,
        identity: RequestIdentity,
        protection: CrashProtection,
        failure: FailedReply,
        is_brittle: Callable[[ServerRecord], bool],
    ) -> None:
        self._request = request
        self._identity = identity
        self._isolation = protection.isolation
        self._guard = protection.guard
        self._detector = protection.detector
        self._failure = failure
        self._is_brittle = is_brittle

    def refuse_if_crashing(self) -> bool:
        """Refuse the request if servers crash because of it; return whether it was."""
        cause = self._guard.final_cause(self._identity)
        if cause is not None:
            self._failure.refuse_as_crashing(cause)
        return cause is not None

    def is_suspect(self) -> bool:
        """Return whether the request may crash servers, and so has to run alone."""
        return self._isolation.must_isolate(self._request, self._identity)

    async def wait_for_turn(self) -> bool:
        """Wait until the request may be sent; refuse it if that takes too long.

        Requests wait that were at a server when it crashed. Returns whether it may be
        sent.
        """
        turn = await self._isolation.wait_for_turn(self._request, self._identity)
        if turn is not Turn.FREE:
            retry_after = (
                _HELD_RETRY_AFTER_SECONDS
                if turn is Turn.HELD
                else _BUSY_RETRY_AFTER_SECONDS
            )
            self._failure.reject(RefusalReason.SUSPECT_WAITS, retry_after)
        return turn is Turn.FREE

    async def claim_server(self, record: ServerRecord) -> bool:
        """Keep the server for this request alone if it may crash it.

        Returns false if another such request goes first.
        """
        if not self.is_suspect():
            return True
        return await self._isolation.claim(self._request, self._identity, record.id)

    def end_isolation(self, *, is_undecided: bool = False) -> None:
        """Record that the request does not run alone any more, if it did.

        ``is_undecided`` means that its server may have crashed.
        """
        self._isolation.finish(self._identity.request_id, is_undecided=is_undecided)

    def note_answering(self) -> None:
        """Record that a server has been answering the request for some time."""
        self._guard.note_answering(self._identity)
        self.end_isolation()

    def note_served(self) -> None:
        """Record that a server ran the request to the end."""
        self._guard.note_served(self._identity)

    async def connection_lost(
        self,
        record: ServerRecord,
        on_unreachable: Callable[[ServerRecord], None],
        *,
        can_run_again: bool,
    ) -> None:
        """Record a lost connection, and wait until it is known if the server crashed.

        ``on_unreachable`` is called to probe the server. Does not wait if no server
        would run the request next, unless it was at a server that crashed before.
        """
        if not self._is_brittle(record):
            # Such a server falls over for want of room, whatever its requests are.
            self._detector.connection_lost(record, self._identity)
        on_unreachable(record)
        if can_run_again or self._guard.is_suspect(self._identity):
            await self._detector.wait_for_verdict(record)
        self.end_isolation(is_undecided=True)
