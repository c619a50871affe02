"""Call the backend servers of plain services over HTTP."""

import ssl
from typing import Final

from gooseberrydeal._internal.exceptions import ServerError, WrongAnswerError
from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.plain_answer import PlainAnswer
from gooseberrydeal._internal.network.http_engine import REQUEST_ID_HEADER
from gooseberrydeal._internal.network.http_session import HttpSession

_READ_TIMEOUT_SECONDS: Final = 30.0
_OK_STATUS: Final = 200


class HttpPlainServer:
    """Send requests as ``POST /OPERATION``.

    Each call that must not be repeated uses a new connection, since a reused one may
    turn out to be closed only after the request was written.
    """

    def __init__(self, pooled: HttpSession, single_use: HttpSession) -> None:
        self._pooled_session = pooled
        self._single_use_session = single_use

    @classmethod
    def from_address(
        cls, address: str, tls: ssl.SSLContext | None = None
    ) -> "HttpPlainServer":
        """Build a client for ``IP:port``."""
        scheme = "http" if tls is None else "https"
        url = f"{scheme}://{address}"
        return cls(
            HttpSession(url, read_seconds=_READ_TIMEOUT_SECONDS, tls=tls),
            HttpSession(url, read_seconds=_READ_TIMEOUT_SECONDS, reuse=False, tls=tls),
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
        """Send a request once, without retries, and return a response of any status."""
        session = self._pooled_session if repeatable else self._single_use_session
        response = await session.open(
            "POST",
            f"/{operation}",
            body,
            {"Content-Type": content_type, REQUEST_ID_HEADER: request_id},
        )
        content = await session.read(response)
        echoed_id = response.headers.get(REQUEST_ID_HEADER.lower())
        if echoed_id is not None and echoed_id != request_id:
            raise WrongAnswerError("server's response belongs to another request")
        response_type = (
            response.headers.get("content-type") or "application/octet-stream"
        )
        return PlainAnswer(response.status_code, response_type, content)

    async def ready(self) -> bool:
        """Return whether the server passes its health check."""
        try:
            status, _, _ = await self._pooled_session.call_raw(
                "GET", "/health", b"", {}
            )
        except ServerError:
            return False
        return status == _OK_STATUS

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_session.close()
        await self._single_use_session.close()
