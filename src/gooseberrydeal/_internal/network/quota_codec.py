"""Encode and decode requests for tokens of accounts' quotas, and grants of them."""

import math
from typing import Any, Final

from gooseberrydeal._internal.models.ids import AccountName, HostId
from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaGrant,
    QuotaOffer,
    QuotaRequest,
    QuotaWant,
)

# Tokens are sent in thousandths, so that sizes of whole requests stay exact.
_PARTS_PER_TOKEN: Final = 1_000


def quota_request_fields(request: QuotaRequest) -> list[Any]:
    """Return the fields of a request, by position."""
    wants = [
        [want.account, _up(want.waiting), _up(want.ahead), _up(want.size)]
        for want in request.wants
    ]
    return [
        request.host,
        request.incarnation,
        request.sequence,
        request.address,
        wants,
        request.asks_members,
    ]


def quota_grant_fields(grant: QuotaGrant) -> list[Any]:
    """Return the fields of a grant, by position.

    Tokens and validity are rounded down, times until tokens are available up.
    """
    offers = [
        [
            offer.account,
            math.floor(offer.tokens * _PARTS_PER_TOKEN),
            math.floor(offer.valid_for * 1000),
            None if offer.available_in is None else _up(offer.available_in),
            offer.is_known,
        ]
        for offer in grant.offers
    ]
    return [grant.host, grant.sequence, grant.version, offers, grant.members]


def parse_quota_request(fields: list[Any]) -> QuotaRequest:
    """Return a request from its fields.

    Raises one of ``DECODE_ERRORS`` of the crash codec if they are not valid.
    """
    host, incarnation, sequence, address, wants, asks_members = fields[:6]
    return QuotaRequest(
        HostId(str(host)),
        int(incarnation),
        int(sequence),
        str(address),
        tuple(
            QuotaWant(
                AccountName(str(account)), _parse(waiting), _parse(ahead), _parse(size)
            )
            for account, waiting, ahead, size, *_ in wants
        ),
        bool(asks_members),
    )


def parse_quota_grant(fields: list[Any]) -> QuotaGrant:
    """Return a grant from its fields.

    Raises one of ``DECODE_ERRORS`` of the crash codec if they are not valid.
    """
    host, sequence, version, offers, members = fields[:5]
    return QuotaGrant(
        HostId(str(host)),
        int(sequence),
        int(version),
        tuple(
            QuotaOffer(
                AccountName(str(account)),
                _parse(tokens),
                max(0, int(valid_for)) / 1000,
                None if available_in is None else _parse(available_in),
                bool(is_known),
            )
            for account, tokens, valid_for, available_in, is_known, *_ in offers
        ),
        int(members),
    )


def _up(value: float) -> int:
    return math.ceil(round(value * _PARTS_PER_TOKEN, 3))


def _parse(value: int) -> float:
    return max(0, int(value)) / _PARTS_PER_TOKEN
