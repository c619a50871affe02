"""Connect a request to the server that it was assigned to."""

import asyncio
from collections.abc import Callable

from gooseberrydeal._internal.exceptions import (
    ConnectionLimitError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.network.http1.connection_pool import ConnectionPool
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.brittle_servers import BrittleServers
from gooseberrydeal._internal.operations.router.request_log import RequestLog
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_notices import ServerNotices
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.stream_continuation import (
    StreamContinuation,
)
from gooseberrydeal._internal.operations.router.version_rollout import VersionRollout


class RequestConnector:
    """Find a connection on which a request may be sent, or exclude its server.

    ``on_connect_failed`` is called with a server to which no connection could be
    opened, the error, and when the attempt began.
    """

    def __init__(
        self,
        request: RoutedRequest,
        continuation: StreamContinuation,
        notices: ServerNotices,
        brittle: BrittleServers,
        log: RequestLog,
        on_connect_failed: Callable[
            [ServerRecord, ServerUnreachableError, float], None
        ],
        rollout: VersionRollout,
    ) -> None:
        self._request = request
        self._continuation = continuation
        self._notices = notices
        self._brittle = brittle
        self._log = log
        self._on_connect_failed = on_connect_failed
        self._rollout = rollout

    async def connect(
        self, assignment: Assignment, pool: ConnectionPool
    ) -> ServerConnection | None:
        """Return a connection, ``None`` if the request may not be sent there now."""
        request, record = self._request, assignment.record
        began_at = asyncio.get_running_loop().time()
        try:
            connection = await pool.acquire(request.refused_on)
        except ServerUnreachableError as error:
            if not isinstance(error, ConnectionLimitError):
                self._on_connect_failed(record, error, began_at)
            request.excluded.add(record.id)
            self._log.not_sent(record.id, error)
            return None
        if not await self._continuation.may_send(record, connection):
            request.excluded.add(record.id)
        elif not pool.is_retired and self._may_send(assignment):
            self._notices.note_sent(record)
            return connection
        pool.release(connection)
        return None

    def _may_send(self, assignment: Assignment) -> bool:
        """Return whether what the assignment went by still holds.

        A retry may have waited for its budget and for a connection since.
        """
        record = assignment.record
        if not self._rollout.may_send(assignment, self._request):
            self._request.needs_newest = True
            return False
        return (
            record.accepts_requests
            and record.entry.service == self._request.service
            and self._notices.may_send(record)
            and self._brittle.may_keep_place(record)
            and self._request.has_valid_place()
        )
