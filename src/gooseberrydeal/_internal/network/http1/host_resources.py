"""Account for what a host holds for the connections of its clients."""

import asyncio
import logging
import math
from collections.abc import Callable
from typing import Final, Protocol

from gooseberrydeal._internal.policy.host_memory.connection_load import (
    ConnectionLoad,
)
from gooseberrydeal._internal.policy.host_memory.host_budget import HostBudget
from gooseberrydeal._internal.policy.host_memory.relief import (
    choose_for_long,
    choose_for_others,
)

logger = logging.getLogger(__name__)

# A new read takes this much at most, and less where a host has no room.
READ_BYTES: Final = 65_536
_PRESSED_READ_BYTES: Final = 4_096
# The default of asyncio, and what is used while a host has no room.
_UNSENT_BYTES: Final = 65_536
_PRESSED_UNSENT_BYTES: Final = 4_096
# From this share on, reads and unsent responses are kept short.
_PRESSED_SHARE: Final = 1 / 2
# Closing frees a tenth at once, so that not each new byte needs another choice.
_RELIEVED_SHARE: Final = 9 / 10
_CHECK_INTERVAL_SECONDS: Final = 0.25
# Most callers wait longer for their response.
_MAX_WAIT_SECONDS: Final = 3.0
_LOG_INTERVAL_SECONDS: Final = 5.0


class HeldConnection(Protocol):
    """Provide what the accounting needs of a connection."""

    def load(self) -> ConnectionLoad:
        """Return what the connection costs now."""
        ...

    def room_granted(self) -> None:
        """Go on with reading the long body for which there was no room."""
        ...

    def shed(self, *, lingers: bool = True) -> None:
        """Refuse the request that is being received, or close.

        Unless it ``lingers``, the connection is closed as soon as the refusal is sent.
        """
        ...


class HostResources:
    """Keep what all connections of a host hold within its budget.

    ``on_limit`` is called with a limit's name for each connection that it affects. All
    methods are called on the event loop.
    """

    def __init__(
        self,
        budget: HostBudget | None = None,
        on_limit: Callable[[str], None] = lambda name: None,
    ) -> None:
        self._budget = budget or HostBudget()
        self._on_limit = on_limit
        self._read_buffer = memoryview(bytearray(READ_BYTES))
        self._others: dict[HeldConnection, int] = {}
        self._other_bytes = 0
        self._long: dict[HeldConnection, int] = {}
        self._long_bytes = 0
        self._waiting: dict[HeldConnection, tuple[int, float]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._relieved_at = -_CHECK_INTERVAL_SECONDS
        self._affected: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    @property
    def budget(self) -> HostBudget:
        """Return the bounds of the host."""
        return self._budget

    @property
    def is_exhausted(self) -> bool:
        """Return whether there is no room for further requests."""
        return self._other_bytes > self._budget.other_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return how much of a response may be unsent before its source is paused."""
        return _PRESSED_UNSENT_BYTES if self._is_pressed else _UNSENT_BYTES

    @property
    def _is_pressed(self) -> bool:
        return self._other_bytes > self._budget.other_bytes * _PRESSED_SHARE

    def read_buffer(self, *, has_room: bool) -> memoryview:
        """Return the buffer for one read, which is shared by all connections."""
        if has_room or not self._is_pressed:
            return self._read_buffer
        return self._read_buffer[:_PRESSED_READ_BYTES]

    def note(self, connection: HeldConnection, held_bytes: int) -> None:
        """Record what is held for a connection besides a long body."""
        self._other_bytes += held_bytes - self._others.get(connection, 0)
        self._others[connection] = held_bytes
        if self._is_pressed:
            self._start_timer()
        if self.is_exhausted:
            now = asyncio.get_running_loop().time()
            if now - self._relieved_at >= _CHECK_INTERVAL_SECONDS / 10:
                self._relieved_at = now
                asyncio.get_running_loop().call_soon(self._relieve)

    def reserve(self, connection: HeldConnection, length: int) -> bool:
        """Reserve room for a long body, or return false and tell when there is some."""
        if not self._waiting and self._fits(length):
            self._set_long(connection, length)
            return True
        now = asyncio.get_running_loop().time()
        self._waiting[connection] = length, now
        self.count_limit("wait_for_room")
        self._start_timer()
        return False

    def release(self, connection: HeldConnection, length: int = 0) -> None:
        """Release what is reserved for a long body besides its actual length."""
        self._waiting.pop(connection, None)
        if connection in self._long:
            self._set_long(connection, length)
            self._grant()

    def leave(self, connection: HeldConnection) -> None:
        """Forget a connection that is closed."""
        self.release(connection)
        self._other_bytes -= self._others.pop(connection, 0)

    def state(self) -> dict[str, int]:
        """Return the gauges of what is held."""
        return {
            "held_bytes": self._other_bytes,
            "held_long_body_bytes": self._long_bytes,
            "long_bodies_waiting": len(self._waiting),
        }

    def count_limit(self, name: str) -> None:
        """Count a connection that a limit affects; log this from time to time."""
        self._on_limit(name)
        count = self._due_count(name)
        if count:
            logger.warning(
                "the host's room is short (%s): %d connections affected since the last"
                " such message; %d bytes held, %d for long bodies, %d bodies wait",
                name,
                count,
                self._other_bytes,
                self._long_bytes,
                len(self._waiting),
            )

    def count_rejection(self, status: int, reason: str) -> None:
        """Count a request that breaks a limit; log this from time to time."""
        name = f"rejected_{status}"
        self._on_limit(name)
        count = self._due_count(name)
        if count:
            logger.info(
                "request rejected with status %d: %s; %d such since the last message",
                status,
                reason,
                count,
            )

    def _due_count(self, name: str) -> int:
        """Return how many connections to report now, zero if it is not yet time."""
        self._affected[name] = self._affected.get(name, 0) + 1
        now = asyncio.get_running_loop().time()
        is_due = now - self._logged_at.get(name, -math.inf) >= _LOG_INTERVAL_SECONDS
        if not is_due:
            return 0
        self._logged_at[name] = now
        return self._affected.pop(name)

    def _fits(self, length: int) -> bool:
        """Return whether a long body fits; a single one always does."""
        total = self._long_bytes + length
        return not self._long or total <= self._budget.long_bytes

    def _set_long(self, connection: HeldConnection, length: int) -> None:
        self._long_bytes += length - self._long.pop(connection, 0)
        if length:
            self._long[connection] = length

    def _grant(self) -> None:
        while self._waiting:
            connection, (length, _) = next(iter(self._waiting.items()))
            if not self._fits(length):
                return
            del self._waiting[connection]
            self._set_long(connection, length)
            connection.room_granted()

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        """Shed what no longer progresses and what has waited too long."""
        self._timer = None
        for connection in list(self._others):
            if connection in self._others:
                self.note(connection, connection.load().other_bytes)
        self._relieve()
        now = asyncio.get_running_loop().time()
        if self._waiting:
            loads = {connection: connection.load() for connection in self._long}
            length, _ = next(iter(self._waiting.values()))
            excess = self._long_bytes + length - self._budget.long_bytes
            for connection in choose_for_long(loads, excess):
                self._shed(connection, "stalled_body")
        for connection, (_, since) in list(self._waiting.items()):
            if now - since >= _MAX_WAIT_SECONDS:
                self._shed(connection, "no_room_for_body")
        if self._waiting or self._is_pressed:
            self._start_timer()

    def _relieve(self) -> None:
        if not self.is_exhausted:
            return
        loads = {connection: connection.load() for connection in self._others}
        excess = self._other_bytes - self._budget.other_bytes * _RELIEVED_SHARE
        for connection in choose_for_others(loads, excess):
            self._shed(connection, "no_room")

    def _shed(self, connection: HeldConnection, limit: str) -> None:
        self.count_limit(limit)
        connection.shed()
