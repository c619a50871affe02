"""Close connections whose peer does not acknowledge what it is sent."""

import asyncio
import logging
from typing import Final

from gooseberrydeal._internal.network.http1.acknowledgement_state import (
    AcknowledgementState,
)
from gooseberrydeal._internal.network.http1.socket_options import (
    USER_TIMEOUT_SECONDS,
    enable_keepalive,
    set_user_timeout,
)

logger = logging.getLogger(__name__)

_CHECK_INTERVAL_SECONDS: Final = 0.25


class AcknowledgementWatch:
    """Tell peers that are gone from those that read slowly, which the kernel does not.

    A connection is checked from a write until all has been acknowledged. Nothing is
    checked while all is. Where the kernel does not tell the state, its own timeout is
    used.
    """

    def __init__(self) -> None:
        self._sent_at: dict[asyncio.Transport, float] = {}
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, transport: asyncio.Transport) -> None:
        """Leave it to this watch, if possible, to end a connection."""
        enable_keepalive(transport)
        sock = transport.get_extra_info("socket")
        if sock is None:
            return
        try:
            AcknowledgementState.from_socket(sock)
        except OSError as error:
            logger.debug("the kernel's timeout is used: %s", error)
            set_user_timeout(transport, is_enabled=True)
        else:
            set_user_timeout(transport, is_enabled=False)

    def data_sent(self, transport: asyncio.Transport) -> None:
        """Check a connection until its peer has acknowledged everything."""
        if transport in self._sent_at:
            return
        loop = asyncio.get_running_loop()
        self._sent_at[transport] = loop.time()
        if self._timer is None:
            self._timer = loop.call_later(_CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        for transport, sent_at in list(self._sent_at.items()):
            if self._is_done(transport, now - sent_at):
                del self._sent_at[transport]
        self._timer = None
        if self._sent_at:
            self._timer = loop.call_later(_CHECK_INTERVAL_SECONDS, self._check)

    def _is_done(self, transport: asyncio.Transport, seconds: float) -> bool:
        """Return whether a connection needs no check any more; close it if so."""
        sock = transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return True
        try:
            state = AcknowledgementState.from_socket(sock)
        except OSError:
            # The kernel's timeout ends the connection.
            return True
        if state.is_settled and not transport.get_write_buffer_size():
            return True
        silent = min(seconds, state.since_acknowledged)
        if silent < USER_TIMEOUT_SECONDS or not state.is_unanswered:
            return False
        logger.info(
            "closing a connection to %s: it has acknowledged nothing for %.1f s",
            transport.get_extra_info("peername"),
            silent,
        )
        transport.abort()
        return True
