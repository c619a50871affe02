"""Bound what a connection may send before its request is complete."""

import asyncio
from dataclasses import dataclass
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Hold the largest head of a request and the time in which it must come."""

    header_bytes: int = 16_384
    header_seconds: float = 10.0


def limited_protocol(limits: HttpLimits) -> type[HttpToolsProtocol]:
    """Return the library's protocol with limits, which it does not offer itself.

    A caller that sends its headers slowly, or never, holds a connection no longer
    than ``header_seconds``.
    """

    class LimitedHttpProtocol(HttpToolsProtocol):
        """Count the bytes of a request's head, and time it."""

        def __init__(self, *args: Any, **kwargs: Any) -> None:  # noqa: ANN401
            super().__init__(*args, **kwargs)
            self._head_bytes = 0
            self._in_head = True
            self._head_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            super().connection_made(transport)
            self._watch_head()

        def connection_lost(self, exc: Exception | None) -> None:
            self._end_head()
            super().connection_lost(exc)

        def data_received(self, data: bytes) -> None:
            if self._in_head:
                self._head_bytes += min(len(data), limits.header_bytes + 1)
                if self._head_timer is None:
                    self._watch_head()
                if not self._is_head_in_bounds(data):
                    self.send_400_response("The headers are too long.")
                    return
            super().data_received(data)

        def on_headers_complete(self) -> None:
            self._end_head()
            super().on_headers_complete()

        def on_message_complete(self) -> None:
            super().on_message_complete()
            self._in_head = True
            self._head_bytes = 0

        def _is_head_in_bounds(self, data: bytes) -> bool:
            if self._head_bytes <= limits.header_bytes:
                return True
            end = data.find(b"\r\n\r\n")
            return 0 <= end <= limits.header_bytes

        def _watch_head(self) -> None:
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(limits.header_seconds, self._too_slow)

        def _end_head(self) -> None:
            self._in_head = False
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _too_slow(self) -> None:
            if self._in_head:
                self.transport.abort()

    return LimitedHttpProtocol
