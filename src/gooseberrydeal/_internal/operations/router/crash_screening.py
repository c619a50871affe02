"""Apply the protection from crashing requests to one request."""

from gooseberrydeal._internal.operations.router.crash_protection import (
    CrashProtection,
)
from gooseberrydeal._internal.operations.router.failed_reply import FailedReply
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.request_identity import RequestIdentity


class CrashScreening:
    """Refuse a request that crashes servers, and report what became of it."""

    def __init__(
        self,
        identity: RequestIdentity,
        protection: CrashProtection,
        failure: FailedReply,
    ) -> None:
        self._identity = identity
        self._guard = protection.guard
        self._detector = protection.detector
        self._failure = failure

    def refuse_if_crashing(self) -> bool:
        """Refuse the request if servers crash because of it; return whether it was."""
        cause = self._guard.refusal_cause(self._identity)
        if cause is not None:
            self._failure.refuse_as_crashing(cause)
        return cause is not None

    def note_answering(self) -> None:
        """Record that a server has been answering the request for some time."""
        self._guard.note_answering(self._identity)

    def note_served(self) -> None:
        """Record that a server ran the request to the end."""
        self._guard.note_served(self._identity)

    def connection_lost(self, record: ServerRecord) -> None:
        """Record that a connection was lost before the request was answered."""
        self._detector.connection_lost(record, self._identity)

    async def wait_for_verdict(
        self, record: ServerRecord, *, can_run_again: bool
    ) -> None:
        """Wait until it is known whether the server crashed.

        Does not wait if no server would run the request next, unless it was at a server
        that crashed before.
        """
        if can_run_again or self._guard.is_suspect(self._identity):
            await self._detector.wait_for_verdict(record)
