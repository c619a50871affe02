"""Answer the platform's question whether this host takes callers."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus

import httptools

from gooseberrydeal._internal.network.http1.framing import reason_of, response_head
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port

logger = logging.getLogger(__name__)


class _ReadinessConnection(asyncio.Protocol):
    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            logger.info("a readiness question is malformed: %s", error)
            if self._transport is not None:
                self._transport.close()

    def on_message_complete(self) -> None:
        status = HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        if self._transport is not None:
            self._transport.write(response_head(status, reason_of(status), (), 0))


class Readiness:
    """Own the listening socket of the readiness question."""

    def __init__(self, address: str, is_ready: Callable[[], bool]) -> None:
        self._address = address
        self._is_ready = is_ready
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, or raise ``OSError``."""
        host, port = split_ip_and_port(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ReadinessConnection(self._is_ready), host, port
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
