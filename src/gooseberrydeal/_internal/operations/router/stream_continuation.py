"""Keep the events of one stream to one software version."""

from http import HTTPStatus

from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.operations.router.stream_versions import StreamVersions


class StreamContinuation:
    """Record where the stream of a request begins, and send it nowhere else."""

    def __init__(
        self,
        request: RoutedRequest,
        exchange: CallerExchange,
        versions: StreamVersions,
    ) -> None:
        self._request = request
        self._exchange = exchange
        self._versions = versions

    async def confirm_origin(self) -> bool:
        """Return whether the request begins a stream, or it is known where it began."""
        origin = self._request.origin
        if origin is None:
            return True
        self._request.origin = await self._versions.confirm(origin) or origin
        return self._request.origin.is_certain

    async def may_send(
        self, record: ServerRecord, connection: ServerConnection
    ) -> bool:
        """Return whether the request may be sent on a connection to a server."""
        origin = self._request.origin
        if origin is None:
            return True
        # The connection may end while the server's entry is read.
        return (
            await self._versions.can_continue(record, connection, origin)
            and connection.is_reusable()
        )

    def note_response(
        self, status: int, record: ServerRecord, connection: ServerConnection
    ) -> None:
        """Record where the stream begins, before its first event is passed on."""
        request = self._request
        is_new = status == HTTPStatus.OK and not self._exchange.is_started
        if not (is_new and request.route.is_resumable):
            return
        known = request.origin
        is_certain = (
            self._versions.is_registered(connection)
            if known is None
            else known.is_certain
        )
        origin = self._versions.stream_begins(
            request.attributes.request_id, record, is_certain=is_certain
        )
        request.origin = known or origin
