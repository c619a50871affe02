"""Call a plain service over HTTP."""

import ssl
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError, WrongAnswerError
from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.plain_answer import PlainAnswer
from gooseberrydeal._internal.network.http_engine import REQUEST_ID_HEADER
from gooseberrydeal._internal.network.http_session import HttpSession

_READ_SECONDS: Final = 30.0
_OK: Final = 200


class HttpPlainServer:
    """Post requests to ``/OPERATION``.

    Calls that must not be repeated get a fresh connection each, since a kept one may
    turn out to be dead only after the request was written.
    """

    def __init__(self, kept: HttpSession, fresh: HttpSession) -> None:
        self._kept = kept
        self._fresh = fresh

    @classmethod
    def from_address(
        cls, address: str, tls: ssl.SSLContext | None = None
    ) -> "HttpPlainServer":
        """Build a client for ``IP:port``."""
        scheme = "http" if tls is None else "https"
        url = f"{scheme}://{address}"
        return cls(
            HttpSession(url, read_seconds=_READ_SECONDS, tls=tls),
            HttpSession(url, read_seconds=_READ_SECONDS, reuse=False, tls=tls),
        )

    async def call(
        self,
        operation: str,
        request_id: RequestId,
        content_type: str,
        body: bytes,
        *,
        repeatable: bool,
    ) -> PlainAnswer:
        """Send a request once and return its answer."""
        session = self._kept if repeatable else self._fresh
        response = await session.open(
            "POST",
            f"/{operation}",
            body,
            {"Content-Type": content_type, REQUEST_ID_HEADER: request_id},
        )
        content = await session.read(response)
        echoed = response.headers.get(REQUEST_ID_HEADER.lower())
        if echoed is not None and echoed != request_id:
            raise WrongAnswerError("the server answered another request")
        kind = response.headers.get("content-type") or "application/octet-stream"
        return PlainAnswer(response.status_code, kind, content)

    async def ready(self) -> bool:
        """Return whether the server answers its health check."""
        try:
            status, _, _ = await self._kept.call_raw("GET", "/health", b"", {})
        except ServerError:
            return False
        return status == _OK

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
        await self._fresh.close()
