"""Open streams to the owners of servers, and pass received messages to them."""

import logging

from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.network.peer_connection import PeerConnection
from gooseberrydeal._internal.network.peer_dialer import PeerDialer
from gooseberrydeal._internal.operations.entry.remote_stream import (
    RemoteStream,
    StreamMessage,
)

logger = logging.getLogger(__name__)


class RemoteStreams:
    """Track the open streams of this process by number; numbers are never reused."""

    def __init__(self, dialer: PeerDialer) -> None:
        self._dialer = dialer
        self._next_number = 1
        self._streams: dict[int, tuple[RemoteStream, PeerConnection, str]] = {}
        self._watched_connections: set[PeerConnection] = set()

    def next_number(self) -> int:
        """Return an unused stream number."""
        self._next_number += 1
        return self._next_number

    async def open(self, address: str, submit: Submit) -> RemoteStream:
        """Send a request and return the stream for its answer.

        Raises :class:`PeerUnreachableError` if nothing was sent, and
        :class:`PeerLostError` if the request may have been sent.
        """
        connection = await self._dialer.connect(address)
        if connection not in self._watched_connections:
            self._watched_connections.add(connection)
            connection.on_close(self._connection_lost)
        stream = RemoteStream(connection, submit.stream)
        self._streams[submit.stream] = (stream, connection, submit.request_id)
        try:
            await connection.send(submit)
        except BaseException:
            self._streams.pop(submit.stream, None)
            raise
        return stream

    def close(self, number: int) -> None:
        """Remove a stream; messages that still arrive for it are ignored."""
        self._streams.pop(number, None)

    def receive(self, connection: PeerConnection, message: StreamMessage) -> None:
        """Pass a message to its stream.

        A message is dropped if its stream is closed, or if it does not come from the
        stream's connection with the stream's request ID.
        """
        found = self._streams.get(message.stream)
        if found is None:
            return
        stream, expected, request_id = found
        received_id = getattr(message, "request_id", request_id)
        if expected is not connection or received_id != request_id:
            logger.error(
                "dropping message for stream %d: wrong connection or request ID",
                message.stream,
                extra={"request_id": request_id},
            )
            return
        stream.put(message)

    def _connection_lost(self, connection: PeerConnection) -> None:
        self._watched_connections.discard(connection)
        for stream, owner, _ in list(self._streams.values()):
            if owner is connection:
                stream.connection_lost()
