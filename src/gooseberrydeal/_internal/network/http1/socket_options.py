"""Set the TCP options of relayed connections."""

import asyncio
import socket
import struct
from typing import Final

# A connection is closed if sent data stays unacknowledged for this long. This leaves
# time for a few retransmissions, but is less than the two seconds without an event
# after which callers abandon a stream at the earliest.
USER_TIMEOUT_SECONDS: Final = 1.8
# Keep-alive probes close dead idle connections before a request is sent on them.
_KEEPALIVE_IDLE_SECONDS: Final = 5
_KEEPALIVE_INTERVAL_SECONDS: Final = 2
_MAX_KEEPALIVE_PROBES: Final = 2


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close connections whose peer no longer responds."""
    enable_keepalive(transport)
    set_user_timeout(transport, is_enabled=True)


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close idle connections whose peer no longer responds."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _MAX_KEEPALIVE_PROBES)


def set_user_timeout(transport: asyncio.BaseTransport, *, is_enabled: bool) -> None:
    """Choose whether the kernel closes a connection whose data is not acknowledged.

    It also closes one whose peer acknowledges everything but reads slowly.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        milliseconds = int(USER_TIMEOUT_SECONDS * 1000) if is_enabled else 0
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def set_reset_on_close(transport: asyncio.BaseTransport, *, is_enabled: bool) -> None:
    """Choose whether the kernel resets the connection instead of closing it in order.

    This includes the end of the process.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        linger = struct.pack("ii", is_enabled, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
