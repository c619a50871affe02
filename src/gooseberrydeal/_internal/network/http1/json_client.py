"""Call HTTP interfaces that exchange JSON."""

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.exceptions import ServerBrokenError
from gooseberrydeal._internal.models.routing.http_heads import Header, ResponseHead
from gooseberrydeal._internal.network.http1.connection_pool import ConnectionPool
from gooseberrydeal._internal.network.http1.framing import encode_request_head
from gooseberrydeal._internal.network.http1.response_sink import ResponseEnd
from gooseberrydeal._internal.network.http1.server_connection import ServerConnection
from gooseberrydeal._internal.utils.json_value import DECODE_ERRORS, JsonObject

logger = logging.getLogger(__name__)

_DEFAULT_MAX_BODY_BYTES: Final = 1_048_576
# The largest value of the store takes 2.3 s on a link of 5 Mbit/s.
_MAX_TRANSFER_SECONDS: Final = 10.0


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """Hold a response; its body is ``None`` if it is not a JSON object."""

    head: ResponseHead
    body: JsonObject | None

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.head.status


class _ResponseCollector:
    """Collect the status and the whole body of one response."""

    def __init__(
        self,
        connection: ServerConnection,
        max_body_bytes: int,
        on_progress: Callable[[], None],
        on_head: Callable[[ResponseHead], None],
    ) -> None:
        self._connection = connection
        self._max_body_bytes = max_body_bytes
        self._on_progress = on_progress
        self._on_head = on_head
        self._done: asyncio.Future[ResponseEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self._head: ResponseHead | None = None
        self._body = bytearray()

    @property
    def progress(self) -> str:
        """Return how much of the response has arrived."""
        if self._head is None:
            return "no response"
        return f"only {len(self._body)} bytes of a response"

    def response(self) -> JsonResponse | None:
        """Return what was received, ``None`` before the head."""
        if self._head is None:
            return None
        return JsonResponse(self._head, _decode_object(bytes(self._body)))

    def head_received(self, head: ResponseHead) -> None:
        self._head = head
        self._on_progress()
        self._on_head(head)

    def body_received(self, data: bytes) -> None:
        self._body += data
        self._on_progress()
        if len(self._body) > self._max_body_bytes:
            logger.info(
                "closing a connection: the body of a response has over %d bytes",
                self._max_body_bytes,
            )
            self._connection.abort()
            self.response_ended(ResponseEnd.INVALID)

    def response_ended(self, end: ResponseEnd) -> None:
        if not self._done.done():
            self._done.set_result(end)

    async def end(self) -> ResponseEnd:
        return await self._done


class JsonClient:
    """Send JSON requests to one server over a connection pool.

    ``address`` has the form ``IP:port``. A response with a longer body than
    ``max_body_bytes`` is invalid.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        self._address = address
        self._max_body_bytes = max_body_bytes
        self._pool = ConnectionPool(address, max_connections)

    async def call(
        self,
        method: str,
        target: str,
        body: object | None,
        timeout_seconds: float,
        headers: tuple[Header, ...] = (),
        stall_seconds: float | None = None,
        on_head: Callable[[ResponseHead], None] = lambda head: None,
    ) -> JsonResponse:
        """Send a request and return its whole response.

        With ``stall_seconds`` the time-out ends with the response's head. From then on
        the call fails if nothing arrives for so long, or after ten seconds. ``on_head``
        is called with the head when it has arrived. Raises
        :class:`ServerUnreachableError` if nothing was sent, and
        :class:`ServerBrokenError` if no valid response came within the time, so that
        the outcome of the call is unknown.
        """
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        request_headers: list[Header] = [(b"Host", self._address.encode()), *headers]
        if data:
            request_headers.append((b"Content-Type", b"application/json"))
        message = encode_request_head(
            method.encode(), target.encode(), request_headers, data
        )
        connection = await self._pool.acquire()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        latest_end = began_at + timeout_seconds + _MAX_TRANSFER_SECONDS
        limit = asyncio.timeout(timeout_seconds)

        def on_progress() -> None:
            if stall_seconds is not None and not limit.expired():
                limit.reschedule(min(loop.time() + stall_seconds, latest_end))

        collector = _ResponseCollector(
            connection, self._max_body_bytes, on_progress, on_head
        )
        try:
            async with limit:
                connection.send(message, collector, is_head_request=False, body=data)
                end = await collector.end()
        except TimeoutError as error:
            self._pool.discard(connection)
            # The idle connections use the same network path and may be dead as well.
            self._pool.close()
            raise ServerBrokenError(
                f"{method} {target.partition('?')[0]} at {self._address} got"
                f" {collector.progress} within {loop.time() - began_at:.1f} s"
            ) from error
        except BaseException:
            self._pool.discard(connection)
            raise
        self._pool.release(connection)
        response = collector.response() if end.is_whole else None
        if response is None:
            raise ServerBrokenError(
                f"{method} {target.partition('?')[0]} at {self._address} ended with"
                f" a {end.value} response"
            )
        return response

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()


def _decode_object(body: bytes) -> JsonObject | None:
    if not body:
        return None
    try:
        value = json.loads(body)
    except DECODE_ERRORS as error:
        logger.info("ignoring a response body that is not valid JSON: %s", error)
        return None
    return value if isinstance(value, dict) else None
