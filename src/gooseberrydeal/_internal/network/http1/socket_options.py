"""Set the options that every relayed connection needs."""

import asyncio
import socket
from typing import Final

# Bytes unacknowledged for this long mean a lost path: longer than a few
# retransmissions, shorter than the two seconds after which streams are abandoned.
_UNACKNOWLEDGED_MILLISECONDS: Final = 1800
# Probes of an idle connection, so that a silent one is dropped before it is used.
_PROBE_IDLE_SECONDS: Final = 5
_PROBE_INTERVAL_SECONDS: Final = 2
_PROBES: Final = 2


def limit_silence(transport: asyncio.BaseTransport) -> None:
    """Make the kernel report a connection whose other end went silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MILLISECONDS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
