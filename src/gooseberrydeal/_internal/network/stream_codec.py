"""Encode and decode what hosts tell each other about where streams began."""

from typing import Any

from gooseberrydeal._internal.models.ids import (
    HostId,
    ServerId,
    ServiceName,
    SoftwareVersion,
)
from gooseberrydeal._internal.models.routing.stream_notice import (
    StreamNotice,
    StreamQuery,
)
from gooseberrydeal._internal.models.routing.stream_origin import StreamOrigin
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port


def stream_notice_fields(notice: StreamNotice) -> list[Any]:
    """Return the fields of a notice, by position."""
    origin = notice.origin
    fields = None
    if origin is not None:
        fields = [
            origin.service,
            origin.version,
            origin.server,
            origin.started_at,
            origin.is_certain,
        ]
    return [notice.host, notice.stream, notice.query, fields]


def parse_stream_notice(fields: list[Any]) -> StreamNotice:
    """Return a notice from its fields.

    Raises one of ``DECODE_ERRORS`` of the crash codec if they are not valid.
    """
    host, stream, query, origin = fields[:4]
    return StreamNotice(
        HostId(str(host)),
        bytes(stream),
        int(query),
        None if origin is None else _parse_origin(origin),
    )


def stream_query_fields(query: StreamQuery) -> list[Any]:
    """Return the fields of a query, by position."""
    return [query.address, query.stream, query.query]


def parse_stream_query(fields: list[Any]) -> StreamQuery:
    """Return a query from its fields.

    Raises one of ``DECODE_ERRORS`` of the crash codec if they are not valid.
    """
    address, stream, query = fields[:3]
    split_ip_and_port(str(address))
    return StreamQuery(str(address), bytes(stream), int(query))


def _parse_origin(fields: list[Any]) -> StreamOrigin:
    service, version, server, started_at, is_certain = fields[:5]
    return StreamOrigin(
        ServiceName(str(service)),
        None if version is None else SoftwareVersion(str(version)),
        ServerId(str(server)),
        int(started_at),
        bool(is_certain),
    )
