"""Define the receiver of a backend server's response."""

from enum import Enum
from typing import Protocol

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead


class ResponseEnd(Enum):
    """List the ways in which a response can end.

    ``EXCESS`` means that the response is complete but more bytes followed it, ``LOST``
    that the connection was closed before the end of the response, ``INVALID`` that the
    server sent bytes that are not a valid response to the request, or that exceed the
    limits of a response's parts.
    """

    COMPLETE = "complete"
    EXCESS = "excess"
    LOST = "lost"
    INVALID = "invalid"


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
