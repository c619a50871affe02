"""Limit the size and duration of request headers on server connections."""

import asyncio
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bound the size of a request's headers and the time in which they must arrive."""

    header_bytes: int = 16_384
    header_seconds: float = 10.0


def limited_protocol(limits: HttpLimits) -> type[HttpToolsProtocol]:
    """Return uvicorn's HTTP protocol with limits, which uvicorn does not offer itself.

    A caller that sends its headers slowly, or never, can hold a connection for no
    longer than ``header_seconds``.
    """

    class LimitedHttpProtocol(HttpToolsProtocol):
        """Limit the bytes of a request's headers and the time to receive them."""

        def __init__(self, *args: Any, **kwargs: Any) -> None:  # noqa: ANN401
            super().__init__(*args, **kwargs)
            self._received_header_bytes = 0
            self._in_headers = True
            self._header_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            super().connection_made(transport)
            self._start_header_timer()

        def connection_lost(self, exc: Exception | None) -> None:
            self._finish_headers()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            if self._in_headers:
                self._received_header_bytes += min(len(data), limits.header_bytes + 1)
                if self._header_timer is None:
                    self._start_header_timer()
                if not self._is_header_size_allowed(data):
                    self.send_400_response("The headers are too long.")
                    return
            super().data_received(data)

        def on_headers_complete(self) -> None:
            self._finish_headers()
            super().on_headers_complete()

        def on_message_complete(self) -> None:
            super().on_message_complete()
            self._in_headers = True
            self._received_header_bytes = 0

        def _is_header_size_allowed(self, data: bytes) -> bool:
            if self._received_header_bytes <= limits.header_bytes:
                return True
            headers_end = data.find(b"\r\n\r\n")
            return 0 <= headers_end <= limits.header_bytes

        def _start_header_timer(self) -> None:
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(
                limits.header_seconds, self._close_on_header_timeout
            )

        def _finish_headers(self) -> None:
            self._in_headers = False
            if self._header_timer is not None:
                self._header_timer.cancel()
                self._header_timer = None

        def _close_on_header_timeout(self) -> None:
            if self._in_headers:
                self.transport.abort()

    return LimitedHttpProtocol
