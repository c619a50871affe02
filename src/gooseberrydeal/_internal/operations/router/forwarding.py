"""Encode the request that is sent to a server."""

from gooseberrydeal._internal.models.routing.forward_facts import ForwardAttributes
from gooseberrydeal._internal.network.http1.caller_exchange import CallerExchange
from gooseberrydeal._internal.network.http1.framing import encode_request
from gooseberrydeal._internal.network.interfaces.relay_codec import RelayCodec
from gooseberrydeal._internal.operations.router.assignment import Assignment
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest


def encode_forwarded_request(
    request: RoutedRequest,
    exchange: CallerExchange,
    codec: RelayCodec,
    assignment: Assignment,
    last_event_id: str | None,
    now: float,
) -> bytes:
    """Return the caller's request with the header fields for the assigned server.

    If the caller's reply has begun, the server is asked to resume after
    ``last_event_id``.
    """
    head = exchange.head
    copy = assignment.copy
    attributes = ForwardAttributes(
        server=assignment.record.id,
        seconds_left=request.deadline - now,
        rank=request.route.rank,
        adapter_version=copy.version if copy is not None and copy.adapter else 0,
        resume_after_event_id=last_event_id if exchange.is_started else None,
        forwards_last_event_id=request.route.is_resumable,
    )
    headers = codec.forward_headers(head, attributes)
    return encode_request(head.method, head.target, headers, exchange.body)
