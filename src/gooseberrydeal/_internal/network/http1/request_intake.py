"""Hold the requests of a connection until their turn, within the host's budget."""

import asyncio
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.models.routing.routing_configuration import CallerLimits
from gooseberrydeal._internal.network.http1.body_progress import BodyProgress
from gooseberrydeal._internal.network.http1.host_resources import (
    HeldConnection,
    HostResources,
)
from gooseberrydeal._internal.network.http1.request_parser import (
    ReceivedRequest,
    Rejection,
    RequestParser,
)
from gooseberrydeal._internal.policy.host_memory.host_budget import CONNECTION_BYTES

# Reading is paused while this many pipelined requests wait for the current response.
_MAX_PIPELINED_REQUESTS: Final = 4
# Parsing stops after a piece of this size once that many requests wait.
_PIECE_BYTES: Final = 4_096
# Longer bodies need room in the host's budget before they are read on.
_MAX_SHORT_BODY_BYTES: Final = 65_536
# What the objects of a request that is served take: 13.3 KB were measured.
_SERVED_BYTES: Final = 16_384


class RequestIntake:
    """Parse what a caller sends, as far as the host has room for it.

    Nothing more is to be read while it ``is_blocked``. The long body of a pipelined
    request is not received before its turn.
    """

    def __init__(
        self,
        limits: Callable[[], CallerLimits],
        resources: HostResources,
        connection: HeldConnection,
        on_begin: Callable[[], None],
        on_head: Callable[[], None],
    ) -> None:
        self._resources = resources
        self._connection = connection
        self._on_begin = on_begin
        self._parser = RequestParser(limits, self._begin, on_head, self._queue)
        self._progress = BodyProgress(asyncio.get_running_loop().time)
        self._unparsed = b""
        self._pipelined: list[ReceivedRequest] = []
        self._is_serving = False
        self._served_bytes = 0
        self._has_room = False
        self._waits_for_room = False

    @property
    def parser(self) -> RequestParser:
        """Return the parser, which tells what is being received."""
        return self._parser

    @property
    def stalled(self) -> float:
        """Return for how many seconds the request has not grown substantially."""
        return 0.0 if self._waits_for_room else self._progress.stalled

    @property
    def is_empty(self) -> bool:
        """Return whether no request is being received or waits for its turn."""
        is_receiving = self._parser.is_receiving or bool(self._unparsed)
        return not is_receiving and not self._pipelined

    @property
    def has_room(self) -> bool:
        """Return whether room for a long body is reserved."""
        return self._has_room

    @property
    def waits_for_room(self) -> bool:
        """Return whether a long body waits until there is room for it."""
        return self._waits_for_room

    @property
    def is_blocked(self) -> bool:
        """Return whether nothing more can be taken in now."""
        return self._waits_for_room or self._is_full or bool(self._unparsed)

    @property
    def has_next(self) -> bool:
        """Return whether a whole request waits, and no other is served."""
        return bool(self._pipelined) and not self._is_serving

    @property
    def held_bytes(self) -> int:
        """Return what is held for the connection besides a body that has room."""
        parser = self._parser
        held = CONNECTION_BYTES + parser.head_bytes + len(self._unparsed)
        held += sum(request.held_bytes for request in self._pipelined)
        if not self._has_room or self._is_serving:
            held += parser.body_bytes
        return held + self._served_bytes

    @property
    def long_bytes(self) -> int:
        """Return what is reserved for the body that is being received."""
        return self._parser.expected_body_bytes if self._has_room else 0

    def seconds_left(self, idle_timeout: float) -> float:
        """Return after how many seconds a body is over its time limit, if there is one.

        A body that waits for room is not: the time of its wait is limited elsewhere.
        """
        if self._waits_for_room:
            return idle_timeout
        return (
            self._progress.seconds_left(idle_timeout) if self.parser.is_in_body else 0.0
        )

    def receive(self, data: memoryview) -> Rejection | None:
        """Take bytes in; return why the request is not accepted, if it isn't."""
        while data:
            if self._waits_for_room or self._is_full:
                self._unparsed = bytes(data)
                break
            size = max(_PIECE_BYTES, self._parser.declared_left)
            rejection = self._parser.feed(data[:size])
            if rejection is not None:
                return rejection
            data = data[size:]
            if self._parser.is_in_body:
                self._note_body()
        return None

    def go_on(self) -> Rejection | None:
        """Take in what was left."""
        data, self._unparsed = memoryview(self._unparsed), b""
        return self.receive(data)

    def begin_next(self) -> ReceivedRequest:
        """Return the next request, which is served from now on."""
        request = self._pipelined.pop(0)
        self._is_serving = True
        self._served_bytes = _SERVED_BYTES + request.head_bytes
        if self._has_room:
            self._resources.release(self._connection, len(request.body))
        else:
            self._served_bytes += len(request.body)
        return request

    def end_served(self) -> None:
        """Release what was held for the request that was served."""
        self._is_serving = False
        self._served_bytes = 0
        self._has_room = False
        self._resources.release(self._connection)

    def room_granted(self) -> None:
        """Note that the long body may be received."""
        self._waits_for_room = False
        self._has_room = True
        self._progress.begin(self._parser.body_bytes)

    def discard(self) -> None:
        """Release all that is not being served."""
        self._parser.drop()
        self._pipelined.clear()
        self._unparsed = b""
        self._waits_for_room = False
        if not self._is_serving:
            self.end_served()

    @property
    def _is_full(self) -> bool:
        is_full = len(self._pipelined) >= _MAX_PIPELINED_REQUESTS
        return is_full or (self._is_serving and self._is_long)

    @property
    def _is_long(self) -> bool:
        return self._parser.body_bytes > _MAX_SHORT_BODY_BYTES

    def _begin(self) -> None:
        self._progress.begin(0)
        self._on_begin()

    def _queue(self, request: ReceivedRequest) -> None:
        self._pipelined.append(request)

    def _note_body(self) -> None:
        """Note the progress of a body; a long one needs room once its turn has come."""
        self._progress.note(self._parser.body_bytes)
        if self._is_long and not self._is_serving and not self._has_room:
            length = self._parser.expected_body_bytes
            self._has_room = self._resources.reserve(self._connection, length)
            self._waits_for_room = not self._has_room
