"""Define the translation between HTTP headers and the system's own models."""

from typing import Protocol

from gooseberrydeal._internal.models.routing.forward_facts import ForwardFacts
from gooseberrydeal._internal.models.routing.http_heads import (
    Header,
    RequestHead,
    ResponseHead,
)
from gooseberrydeal._internal.models.routing.reply_facts import ReplyFacts
from gooseberrydeal._internal.models.routing.request_facts import RequestFacts


class RelayCodec(Protocol):
    """Parse the headers of requests and responses, and build those to send on."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Parse the head of a caller's request."""
        ...

    def forward_headers(self, head: RequestHead, facts: ForwardFacts) -> list[Header]:
        """Return the headers to send to a server, except message framing headers."""
        ...

    def read_reply(self, head: ResponseHead) -> ReplyFacts:
        """Parse the head of a server's response."""
        ...

    def reply_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers to send to the caller, except message framing headers."""
        ...
