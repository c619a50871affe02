"""Send and receive reports between hosts as datagrams."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, cast

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.usage_report import UsageReport
from gooseberrydeal._internal.network.report_codec import decode_report
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port

logger = logging.getLogger(__name__)

OnReport = Callable[[UsageReport | EngineStatus], None]


class DatagramSocket(asyncio.DatagramProtocol):
    """Own the socket that carries reports; what cannot be sent is dropped."""

    def __init__(self, on_report: OnReport) -> None:
        self._on_report = on_report
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: str) -> None:
        """Bind to ``IP:port``, or raise ``OSError``."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_ip_and_port(address)
        )

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram to ``IP:port``."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, split_ip_and_port(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        # The event loop's transport offers this interface without inheriting from it.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a report on."""
        try:
            report = decode_report(data)
        except PeerProtocolError as error:
            logger.warning("a datagram from %s is dropped: %s", addr[0], error)
            return
        if report is not None:
            self._on_report(report)

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram could not be delivered."""
        logger.debug("a datagram was not delivered: %s", exc)
