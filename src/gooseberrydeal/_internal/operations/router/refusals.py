"""Answer rejected requests."""

import logging
from http import HTTPStatus

from gooseberrydeal._internal.models.http_status import HTTP_STATUS
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.http_heads import Header
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.peer_fields import refusal_field
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

logger = logging.getLogger(__name__)


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
    exchange.add_peer_field(refusal_field(reason))
    body = reason.value.encode() + b"\n"
    exchange.respond(status or HTTP_STATUS[reason], headers, body)


def final_refusal_status(codec: RelayCodec, route: Route, cause: RequestFeature) -> int:
    """Return the status, which is final, of a request that is refused for crashes.

    A request that crashes servers is its caller's error. One that shares a part of its
    prompt or all but the query with such requests may be valid, so the status reports a
    failed server.
    """
    if cause.is_shared:
        return HTTPStatus.BAD_GATEWAY
    return codec.final_refusal_status(is_repeatable=route.is_repeatable)


def refuse_crashing(
    exchange: CallerExchange,
    codec: RelayCodec,
    metrics: RouterMetrics,
    identity: RequestIdentity,
    route: Route,
    cause: RequestFeature,
) -> None:
    """Refuse a request for good, since servers crashed while ``cause`` was there."""
    reason = RefusalReason.CRASH_SUSPECT
    metrics.count_refusal(reason)
    logger.info(
        "%s refused: servers crashed while it was there",
        cause,
        extra={"request_id": identity.request_id, "reason": reason.value},
    )
    refuse(exchange, reason, None, final_refusal_status(codec, route, cause))
