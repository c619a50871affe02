"""Notice servers that do not answer."""

import asyncio
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.operations.router.server_record import ServerRecord

# A server that sends nothing on any connection for this long after a request was sent
# is checked. Servers take longer only with few and long requests.
_SILENCE_SECONDS: Final = 0.35
# A server whose new connections work may go on to be silent; it is checked again later.
_RECHECK_SECONDS: Final = 1.0


class SilenceWatch:
    """Check servers that send nothing after a request was sent to them.

    The time counts from the first request that was sent since a server was heard of.

    Connections may fall silent without an end. The kernel notices that only seconds
    later. ``on_silent`` is called with a server that should be checked.
    """

    def __init__(self, on_silent: Callable[[ServerRecord], None]) -> None:
        self._on_silent = on_silent
        self._sent_at: dict[ServerId, float] = {}
        self._watched: set[ServerId] = set()

    def request_sent(self, record: ServerRecord) -> None:
        """Watch a server until it is heard of."""
        known = self._sent_at.get(record.id)
        if known is None or known <= record.pool.heard_at:
            self._sent_at[record.id] = asyncio.get_running_loop().time()
        if record.id not in self._watched:
            self._watched.add(record.id)
            self._check_later(record, _SILENCE_SECONDS)

    def _check_later(self, record: ServerRecord, seconds: float) -> None:
        asyncio.get_running_loop().call_later(seconds, self._check, record)

    def _check(self, record: ServerRecord) -> None:
        now = asyncio.get_running_loop().time()
        sent_at = self._sent_at[record.id]
        is_answered = record.pool.heard_at >= sent_at
        if is_answered or not record.load.own_requests:
            self._watched.discard(record.id)
            del self._sent_at[record.id]
            return
        remaining = sent_at + _SILENCE_SECONDS - now
        if remaining > 0.0:
            self._check_later(record, remaining)
            return
        self._on_silent(record)
        self._check_later(record, _RECHECK_SECONDS)
