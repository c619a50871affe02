"""Call an HTTP server and classify failures by whether it may have been reached."""

import asyncio
import json
import ssl
from collections.abc import AsyncIterator
from typing import Any, Final

import aiosonic
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import (
    AiosonicError,
    ConnectionPoolAcquireTimeout,
    ConnectTimeout,
)
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from gooseberrydeal._internal.exceptions import (
    ServerBrokenError,
    ServerRefusedError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.network.http1.framing import is_bodiless, is_status

_CONNECT_TIMEOUT_SECONDS: Final = 1.0
_POOL_ACQUIRE_TIMEOUT_SECONDS: Final = 1.0
_MIN_ERROR_STATUS: Final = 400
_MAX_ERROR_TEXT_BYTES: Final = 400
_CALL_ERRORS: Final = (
    AiosonicError,
    TimeoutError,
    OSError,
    ValueError,
    asyncio.IncompleteReadError,
)


class _ClosingConnection(Connection):  # type: ignore[misc]
    """Close after an unfinished call, so that no later call reads its response."""

    async def __aexit__(self, exc_type: object, exc: object, traceback: object) -> None:
        if exc_type is not None:
            self.keep = False
            self.close()
        await super().__aexit__(exc_type, exc, traceback)


class HttpSession:
    """Own a pool of connections to one base URL.

    ``read_seconds`` limits the wait for a response and the time to read its body.
    Without ``reuse``, each call opens a new connection, so that it cannot fail on a
    connection that the server had already closed. Calls raise
    :class:`ServerUnreachableError` if nothing was sent, and :class:`ServerBrokenError`
    if the server may have received the request or part of it.
    """

    def __init__(
        self,
        base_url: str,
        *,
        read_seconds: float,
        pool_size: int = 256,
        reuse: bool = True,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._read_seconds = read_seconds
        self._tls = tls
        self._client = aiosonic.HTTPClient(
            TCPConnector(
                connection_cls=_ClosingConnection,
                pool_configs={
                    ":default": PoolConfig(
                        size=pool_size, max_conn_requests=None if reuse else 1
                    )
                },
                timeouts=Timeouts(
                    sock_connect=_CONNECT_TIMEOUT_SECONDS,
                    sock_read=read_seconds,
                    pool_acquire=_POOL_ACQUIRE_TIMEOUT_SECONDS,
                    request_timeout=None,
                ),
            )
        )
        self._reuse = reuse

    async def call_json(
        self,
        method: str,
        path: str,
        body: object | None = None,
        headers: dict[str, str] | None = None,
    ) -> Any:  # noqa: ANN401
        """Send JSON and return the decoded response, ``None`` if it is empty."""
        data = b"" if body is None else json.dumps(body).encode()
        content = await self.call(
            method, path, data, {"Content-Type": "application/json", **(headers or {})}
        )
        try:
            return json.loads(content) if content else None
        except ValueError as error:
            raise ServerBrokenError(f"response to {path} is not valid JSON") from error

    async def call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> bytes:
        """Return the response body; raise :class:`ServerRefusedError` on an error."""
        response = await self.open(method, path, body, headers)
        content = await self._read_body(response, path)
        if response.status_code >= _MIN_ERROR_STATUS:
            text = content[:_MAX_ERROR_TEXT_BYTES].decode(errors="replace")
            raise ServerRefusedError(
                f"{path} returned status {response.status_code}: {text}",
                response.status_code,
            )
        return content

    async def call_raw(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, str, bytes]:
        """Return the status, content type and body of a response of any status."""
        response = await self.open(method, path, body, headers)
        content = await self._read_body(response, path)
        content_type = (
            response.headers.get("content-type") or "application/octet-stream"
        )
        return response.status_code, content_type, content

    async def open(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> aiosonic.HttpResponse:
        """Send a request and return the response with its body unread."""
        sent_headers = dict(headers)
        if not self._reuse:
            sent_headers["Connection"] = "close"
        try:
            response = await self._client.request(
                self._base_url + path,
                method,
                sent_headers,
                data=body or None,
                ssl=self._tls,
            )
        except (
            ConnectTimeout,
            ConnectionPoolAcquireTimeout,
            ConnectionRefusedError,
        ) as error:
            raise ServerUnreachableError(
                f"could not connect to {self._base_url}"
            ) from error
        except _CALL_ERRORS as error:
            raise ServerBrokenError(f"no response to {path}") from error
        if not is_status(response.status_code):
            raise ServerBrokenError(
                f"response to {path} has the status {response.status_code:03d}"
            )
        return response

    async def chunks(
        self, response: aiosonic.HttpResponse, idle_seconds: float
    ) -> AsyncIterator[bytes]:
        """Yield the chunks of a response body as they arrive.

        Raises :class:`ServerBrokenError` if the connection is lost or no chunk arrives
        within ``idle_seconds``.
        """
        iterator = response.read_chunks()
        try:
            while True:
                try:
                    async with asyncio.timeout(idle_seconds):
                        chunk = await anext(iterator)
                except StopAsyncIteration:
                    return
                yield chunk
        except _CALL_ERRORS as error:
            raise ServerBrokenError(
                f"stream was interrupted or idle for {idle_seconds} s"
            ) from error
        finally:
            await iterator.aclose()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()

    async def read(self, response: aiosonic.HttpResponse) -> bytes:
        """Return the whole body of a response."""
        return await self._read_body(response, "call")

    async def _read_body(self, response: aiosonic.HttpResponse, path: str) -> bytes:
        if not _is_framed(response):
            # The library would return an empty body.
            raise ServerBrokenError(
                f"response to {path} has neither a length nor chunks, so that its end"
                " is not known"
            )
        try:
            async with asyncio.timeout(self._read_seconds):
                return bytes(await response.content())
        except _CALL_ERRORS as error:
            raise ServerBrokenError(
                f"response to {path} was interrupted or timed out"
            ) from error


def _is_framed(response: aiosonic.HttpResponse) -> bool:
    """Return whether the end of a response follows from its head or its chunks."""
    return (
        is_bodiless(response.status_code)
        or "content-length" in response.headers
        or "transfer-encoding" in response.headers
    )
