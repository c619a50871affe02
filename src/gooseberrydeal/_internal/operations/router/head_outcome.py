"""Decide from a response's head whether the response is relayed."""

from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes
from gooseberrydeal._internal.operations.router.attempt_outcome import AttemptOutcome

# Callers read these statuses as a guarantee that the request was not executed.
_NOT_EXECUTED_STATUSES: Final = frozenset(
    {
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    }
)


def is_event_stream(
    head: ResponseHead, attributes: ResponseAttributes, *, expects_events: bool
) -> bool:
    """Return whether a response holds events, which its type may not say."""
    return attributes.is_event_stream or (
        expects_events
        and head.status == HTTPStatus.OK
        and head.first(b"content-type") is None
        and not head.has_framing
    )


def outcome_of_head(
    status: int,
    attributes: ResponseAttributes,
    *,
    is_statement_trusted: bool,
    is_retryable: bool,
    must_be_stream: bool,
    is_stream: bool,
) -> AttemptOutcome | None:
    """Return the outcome if the response must not be relayed, else ``None``.

    ``is_statement_trusted`` tells whether a statement that the request did not run is
    about this request. With ``must_be_stream`` the response goes on with a stream.
    """
    if attributes.is_not_run and is_statement_trusted:
        return AttemptOutcome.NOT_RUN
    if attributes.is_not_run and is_retryable:
        return AttemptOutcome.FAILED
    if must_be_stream and not (status == HTTPStatus.OK and is_stream):
        return AttemptOutcome.FAILED
    if attributes.is_not_run or status in _NOT_EXECUTED_STATUSES:
        # The server did not state that the request was not executed, but the caller
        # would conclude so from this status.
        return AttemptOutcome.WITHHELD
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR and is_retryable:
        return AttemptOutcome.FAILED
    return None
