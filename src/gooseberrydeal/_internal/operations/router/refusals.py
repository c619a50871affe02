"""Answer rejected requests."""

from gooseberrydeal._internal.models.http_status import HTTP_STATUS
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.http_heads import Header
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange


def refuse(
    exchange: CallerExchange, reason: RefusalReason, retry_after: float | None
) -> None:
    """Answer with the status code of ``reason`` and the reason as plain text.

    ``retry_after`` is in seconds; without it, no ``Retry-After`` header is sent.
    """
    headers: list[Header] = [(b"Content-Type", b"text/plain")]
    if retry_after is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after))
    exchange.respond(HTTP_STATUS[reason], headers, reason.value.encode() + b"\n")
