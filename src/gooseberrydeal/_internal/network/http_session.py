"""Call an HTTP server and tell what is known after a failure."""

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

_CONNECT_SECONDS: Final = 1.0
_POOL_SECONDS: Final = 1.0
_ERROR_STATUS: Final = 400
_MAX_ERROR_BYTES: Final = 400
_FAILURES: Final = (
    AiosonicError,
    TimeoutError,
    OSError,
    ValueError,
    asyncio.IncompleteReadError,
)


class _ClosingConnection(Connection):  # type: ignore[misc]
    """Close after a call that did not end, so that nobody reads its answer."""

    async def __aexit__(self, kind: object, error: object, trace: object) -> None:
        if kind is not None:
            self.keep = False
            self.close()
        await super().__aexit__(kind, error, trace)


class HttpSession:
    """Own a pool of connections to one base URL.

    With ``reuse`` off each call has a fresh connection, so that a call can't fail
    on a connection that the server had already closed.
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
                    sock_connect=_CONNECT_SECONDS,
                    sock_read=read_seconds,
                    pool_acquire=_POOL_SECONDS,
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
        """Return the decoded JSON answer of a call."""
        data = b"" if body is None else json.dumps(body).encode()
        answer = await self.call(
            method, path, data, {"Content-Type": "application/json", **(headers or {})}
        )
        try:
            return json.loads(answer) if answer else None
        except ValueError as error:
            raise ServerBrokenError(f"{path} did not answer with JSON") from error

    async def call(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> bytes:
        """Return the body of a successful answer."""
        response = await self.open(method, path, body, headers)
        content = await self._content(response, path)
        if response.status_code >= _ERROR_STATUS:
            text = content[:_MAX_ERROR_BYTES].decode(errors="replace")
            raise ServerRefusedError(
                f"{path} answered {response.status_code}: {text}", response.status_code
            )
        return content

    async def call_raw(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, str, bytes]:
        """Return the status, content type and body of any answer."""
        response = await self.open(method, path, body, headers)
        content = await self._content(response, path)
        kind = response.headers.get("content-type") or "application/octet-stream"
        return response.status_code, kind, content

    async def open(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> aiosonic.HttpResponse:
        """Send a request and return the answer with its body unread."""
        sent = dict(headers)
        if not self._reuse:
            sent["Connection"] = "close"
        try:
            return await self._client.request(
                self._base_url + path,
                method,
                sent,
                data=body or None,
                ssl=self._tls,
            )
        except (
            ConnectTimeout,
            ConnectionPoolAcquireTimeout,
            ConnectionRefusedError,
        ) as error:
            raise ServerUnreachableError(
                f"no connection to {self._base_url}"
            ) from error
        except _FAILURES as error:
            raise ServerBrokenError(f"{path} gave no answer") from error

    async def chunks(
        self, response: aiosonic.HttpResponse, idle_seconds: float
    ) -> AsyncIterator[bytes]:
        """Yield the parts of a body as they come; a silent server is an error."""
        parts = response.read_chunks()
        try:
            while True:
                try:
                    async with asyncio.timeout(idle_seconds):
                        part = await anext(parts)
                except StopAsyncIteration:
                    return
                yield part
        except _FAILURES as error:
            raise ServerBrokenError("the stream was cut or went silent") from error
        finally:
            await parts.aclose()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()

    async def read(self, response: aiosonic.HttpResponse) -> bytes:
        """Return the whole body of an answer."""
        return await self._content(response, "call")

    async def _content(self, response: aiosonic.HttpResponse, path: str) -> bytes:
        try:
            async with asyncio.timeout(self._read_seconds):
                return bytes(await response.content())
        except _FAILURES as error:
            raise ServerBrokenError(f"the answer of {path} was cut") from error
