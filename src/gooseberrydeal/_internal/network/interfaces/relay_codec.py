"""Define how requests and responses of the request path are translated."""

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
    """Translate between header fields and what the system knows them as."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Return what a caller asks for."""
        ...

    def forward_headers(self, head: RequestHead, facts: ForwardFacts) -> list[Header]:
        """Return the fields to send to a server, without those of framing."""
        ...

    def read_reply(self, head: ResponseHead) -> ReplyFacts:
        """Return what a server's response says."""
        ...

    def reply_headers(self, head: ResponseHead) -> list[Header]:
        """Return the fields to send to the caller, without those of framing."""
        ...
