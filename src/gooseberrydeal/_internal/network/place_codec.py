"""Encode and decode the messages about places at plain servers."""

from collections.abc import Callable
from enum import IntEnum
from typing import Any, Final

from gooseberrydeal._internal.models.ids import AccountName, HostId, ServerId
from gooseberrydeal._internal.models.routing.place_messages import (
    PlaceGrant,
    PlaceMessage,
    PlaceOutcome,
    PlaceRelease,
    PlaceRequest,
)
from gooseberrydeal._internal.network import field_range

# A longer time is of no use to a decision.
_MAX_SECONDS: Final = 3_600.0


class _PlaceKind(IntEnum):
    REQUEST = 10
    GRANT = 11
    RELEASE = 12


def place_message_fields(message: PlaceMessage) -> list[Any]:
    """Return the kind of a message as a report, and its fields by position."""
    if isinstance(message, PlaceRequest):
        return [int(_PlaceKind.REQUEST), *_request_fields(message)]
    if isinstance(message, PlaceGrant):
        return [int(_PlaceKind.GRANT), *_grant_fields(message)]
    return [int(_PlaceKind.RELEASE), *_release_fields(message)]


def _request_fields(request: PlaceRequest) -> list[Any]:
    return [
        request.host,
        request.incarnation,
        request.number,
        request.server,
        request.rank,
        _to_milliseconds(request.late_in),
        _to_milliseconds(request.useless_in),
        request.account,
        request.tokens,
        request.is_in_use,
    ]


def _parse_request(fields: list[Any]) -> PlaceRequest:
    host, incarnation, number, server, rank, late_in, useless_in = fields[:7]
    account, tokens, is_in_use = fields[7:10]
    return PlaceRequest(
        HostId(str(host)),
        int(incarnation),
        int(number),
        ServerId(str(server)),
        int(rank),
        field_range.signed_seconds(late_in),
        field_range.signed_seconds(useless_in),
        AccountName(str(account)),
        field_range.count(tokens),
        bool(is_in_use),
    )


def _grant_fields(grant: PlaceGrant) -> list[Any]:
    return [
        grant.keeper,
        grant.incarnation,
        grant.number,
        grant.server,
        grant.outcome.value,
        _to_milliseconds(grant.seconds),
        grant.is_contended,
    ]


def _parse_grant(fields: list[Any]) -> PlaceGrant:
    keeper, incarnation, number, server, outcome, seconds, is_contended = fields[:7]
    return PlaceGrant(
        HostId(str(keeper)),
        int(incarnation),
        int(number),
        ServerId(str(server)),
        PlaceOutcome(int(outcome)),
        field_range.signed_seconds(seconds),
        bool(is_contended),
    )


def _release_fields(release: PlaceRelease) -> list[Any]:
    return [
        release.host,
        release.incarnation,
        release.number,
        release.server,
        release.was_rejected,
        release.load,
    ]


def _parse_release(fields: list[Any]) -> PlaceRelease:
    host, incarnation, number, server, was_rejected, load = fields[:6]
    return PlaceRelease(
        HostId(str(host)),
        int(incarnation),
        int(number),
        ServerId(str(server)),
        bool(was_rejected),
        None if load is None else field_range.count(load),
    )


def _to_milliseconds(seconds: float) -> int:
    return int(max(-_MAX_SECONDS, min(_MAX_SECONDS, seconds)) * 1000)


# The parsers raise one of ``DECODE_ERRORS`` of the crash codec if fields are not valid.
PLACE_PARSERS: Final[dict[int, Callable[[list[Any]], PlaceMessage]]] = {
    _PlaceKind.REQUEST: _parse_request,
    _PlaceKind.GRANT: _parse_grant,
    _PlaceKind.RELEASE: _parse_release,
}
