"""Serve a status, such as readiness or metrics, over HTTP."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus

import httptools

from gooseberrydeal._internal.network.http1.framing import (
    encode_response_head,
    reason_phrase,
)
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port

logger = logging.getLogger(__name__)

StatusSource = Callable[[], tuple[HTTPStatus, bytes]]


class _StatusConnection(asyncio.Protocol):
    def __init__(self, source: StatusSource) -> None:
        self._source = source
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            logger.info(
                "malformed request to a status endpoint, closing the connection: %s",
                error,
            )
            if self._transport is not None:
                self._transport.close()

    def on_message_complete(self) -> None:
        status, body = self._source()
        fields = ((b"Content-Type", b"text/plain; charset=utf-8"),) if body else ()
        head = encode_response_head(status, reason_phrase(status), fields, len(body))
        if self._transport is not None:
            self._transport.write(head + body)


class StatusEndpoint:
    """HTTP server that answers every request with the current status.

    ``source`` returns the status code and body for each response.
    """

    def __init__(self, address: str, source: StatusSource) -> None:
        self._address = address
        self._source = source
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening; raise ``OSError`` if the address cannot be bound."""
        host, port = split_ip_and_port(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _StatusConnection(self._source), host, port
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
