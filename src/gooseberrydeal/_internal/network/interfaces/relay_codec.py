"""Define the translation between HTTP headers and the system's own models."""

from typing import Protocol

from gooseberrydeal._internal.models.ids import AccountName
from gooseberrydeal._internal.models.routing.forward_facts import ForwardAttributes
from gooseberrydeal._internal.models.routing.http_heads import (
    Header,
    RequestHead,
    ResponseHead,
)
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.models.routing.request_facts import RequestAttributes


class RelayCodec(Protocol):
    """Parse the headers of requests and responses, and build those to send on."""

    def final_refusal_status(self, *, is_repeatable: bool) -> int:
        """Return a status after which callers do not send the request again."""
        ...

    def read_request(self, head: RequestHead) -> RequestAttributes:
        """Parse the head of a caller's request."""
        ...

    def forward_headers(
        self, head: RequestHead, attributes: ForwardAttributes
    ) -> list[Header]:
        """Return the headers to send to a server, except message framing headers."""
        ...

    def peer_headers(
        self,
        head: RequestHead,
        seconds_left: float,
        account: AccountName | None = None,
        *,
        hides_key: bool = False,
    ) -> list[Header]:
        """Return the caller's headers for a host that the request is passed on to."""
        ...

    def read_response(self, head: ResponseHead) -> ResponseAttributes:
        """Parse the head of a server's response."""
        ...

    def reply_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers to send to the caller, except message framing headers."""
        ...
