"""Define who receives a backend server's response."""

from enum import Enum
from typing import Protocol

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead


class ResponseEnd(Enum):
    """List how a response can end.

    ``LOST`` says that the connection broke, ``INVALID`` that the server sent bytes
    that are no response or not the response to this request.
    """

    COMPLETE = "complete"
    LOST = "lost"
    INVALID = "invalid"


class ResponseSink(Protocol):
    """Receive one response; nothing follows its end."""

    def head_received(self, head: ResponseHead) -> None:
        """Take the head."""
        ...

    def body_received(self, data: bytes) -> None:
        """Take the next bytes of the body."""
        ...

    def response_ended(self, end: ResponseEnd) -> None:
        """Note the end."""
        ...
