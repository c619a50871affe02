"""Define the receiver of a backend server's response."""

from enum import Enum
from typing import Protocol

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead


class ResponseEnd(Enum):
    """List the ways in which a response can end.

    ``CLOSED`` means that the response has neither a length nor chunks and ended with
    its connection, which a server that breaks off may close just the same. ``EXCESS``
    means that the response is complete but more bytes followed it, ``LOST`` that the
    connection was closed before the end of the response, ``INVALID`` that the server
    sent bytes that are not a valid response to the request, or that exceed the limits
    of a response's parts.
    """

    COMPLETE = "complete"
    CLOSED = "closed"
    EXCESS = "excess"
    LOST = "lost"
    INVALID = "invalid"

    @property
    def is_whole(self) -> bool:
        """Return whether the framing of the response shows no missing bytes."""
        return self in (ResponseEnd.COMPLETE, ResponseEnd.CLOSED, ResponseEnd.EXCESS)


class ResponseSink(Protocol):
    """Receive one response; no method is called after ``response_ended``."""

    def head_received(self, head: ResponseHead) -> None:
        """Receive the status line and the header fields."""
        ...

    def body_received(self, data: bytes) -> None:
        """Receive the next bytes of the body."""
        ...

    def response_ended(self, end: ResponseEnd) -> None:
        """Receive the end of the response."""
        ...
