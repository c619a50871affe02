"""Open streams to owners."""

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
    """Number the streams of this process; a number is never used again."""

    def __init__(self, dialer: PeerDialer) -> None:
        self._dialer = dialer
        self._next_number = 1
        self._streams: dict[int, tuple[RemoteStream, PeerConnection, str]] = {}
        self._watched: set[PeerConnection] = set()

    def next_number(self) -> int:
        """Return a fresh stream number."""
        self._next_number += 1
        return self._next_number

    async def open(self, address: str, submit: Submit) -> RemoteStream:
        """Send a request.

        Raises :class:`PeerUnreachableError` if nothing was sent, and
        :class:`PeerLostError` if the request may have been.
        """
        connection = await self._dialer.connection(address)
        if connection not in self._watched:
            self._watched.add(connection)
            connection.on_close(self._lost)
        stream = RemoteStream(connection, submit.stream)
        self._streams[submit.stream] = (stream, connection, submit.request_id)
        try:
            await connection.send(submit)
        except BaseException:
            self._streams.pop(submit.stream, None)
            raise
        return stream

    def close(self, number: int) -> None:
        """Forget a stream; what still comes for it is dropped."""
        self._streams.pop(number, None)

    def receive(self, connection: PeerConnection, message: StreamMessage) -> None:
        """Hand a message to its stream, and drop what belongs to none."""
        found = self._streams.get(message.stream)
        if found is None:
            return
        stream, expected, request_id = found
        echoed = getattr(message, "request_id", request_id)
        if expected is not connection or echoed != request_id:
            logger.error("crossed message", extra={"request_id": request_id})
            return
        stream.put(message)

    def _lost(self, connection: PeerConnection) -> None:
        self._watched.discard(connection)
        for stream, owner, _ in list(self._streams.values()):
            if owner is connection:
                stream.lost()
