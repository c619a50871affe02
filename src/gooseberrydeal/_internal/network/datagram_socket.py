"""Send and receive the reports between hosts as UDP datagrams."""

import asyncio
import logging
from collections.abc import Callable
from functools import lru_cache
from typing import Any, cast

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.network.report_codec import Report, decode_report
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port

logger = logging.getLogger(__name__)

ReportHandler = Callable[[Report], None]


@lru_cache(maxsize=1_024)
def _parse_address(address: str) -> tuple[str, int]:
    return split_ip_and_port(address)


class DatagramSocket(asyncio.DatagramProtocol):
    """Own the UDP socket for reports; datagrams that cannot be sent are dropped."""

    def __init__(self, on_report: ReportHandler) -> None:
        self._on_report = on_report
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str) -> None:
        """Bind the socket to ``IP:port``; raise ``OSError`` if that fails."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_ip_and_port(address)
        )

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram to ``IP:port``, or drop it if the socket is not open."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, _parse_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket."""
        # The event loop's transport implements this interface without subclassing it.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Decode a report and pass it to the callback; drop it if it is invalid."""
        try:
            report = decode_report(data)
        except PeerProtocolError as error:
            logger.warning("dropping invalid datagram from %s: %s", addr[0], error)
            return
        if report is not None:
            self._on_report(report)

    def error_received(self, exc: Exception) -> None:
        """Log an error of sending or receiving that the operating system reports."""
        logger.debug("error on the datagram socket: %s", exc)
