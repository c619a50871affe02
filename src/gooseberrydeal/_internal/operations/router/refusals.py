"""Answer rejected requests."""

from gooseberrydeal._internal.models.http_status import HTTP_STATUS
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.http_heads import Header
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange


def refuse(
    exchange: CallerExchange,
    reason: RefusalReason,
    retry_after: float | None,
    status: int | None = None,
) -> None:
    """Answer with a status code and the reason as plain text.

    ``retry_after`` is in seconds; without it, no ``Retry-After`` header is sent.
    ``status`` replaces the status code of the reason.
    """
    headers: list[Header] = [(b"Content-Type", b"text/plain")]
    if retry_after is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after))
    body = reason.value.encode() + b"\n"
    exchange.respond(status or HTTP_STATUS[reason], headers, body)
