"""Encode and decode notices about requests that run in isolation."""

from typing import Any

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.isolation_notice import (
    IsolationNotice,
    IsolationState,
)
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature


def isolation_notice_fields(notice: IsolationNotice) -> list[Any]:
    """Return the fields of a notice, by position."""
    return [
        notice.host,
        notice.number,
        notice.service,
        notice.server,
        [list(feature) for feature in notice.features],
        notice.state.value,
    ]


def parse_isolation_notice(fields: list[Any]) -> IsolationNotice:
    """Return a notice from its fields.

    Raises one of ``DECODE_ERRORS`` of the crash codec if they are not valid.
    """
    host, number, service, server, features, state = fields[:6]
    return IsolationNotice(
        HostId(str(host)),
        int(number),
        ServiceName(str(service)),
        ServerId(str(server)),
        tuple(
            RequestFeature(bytes(outline), bytes(content))
            for outline, content, *_ in features
        ),
        IsolationState(state),
    )
