"""Encode and decode the reports between hosts as CBOR datagrams.

Fields are encoded by position, and fractions as integers. Each report replaces the one
before it, so that a lost datagram only delays the update until the next report.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import Any, Final

import cbor2

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.routing.crash_report import CrashReport
from gooseberrydeal._internal.models.routing.engine_status import (
    EngineStatus,
)
from gooseberrydeal._internal.models.routing.isolation_notice import IsolationNotice
from gooseberrydeal._internal.models.routing.limit_report import LimitReport
from gooseberrydeal._internal.models.routing.owner_handover import OwnerHandover
from gooseberrydeal._internal.models.routing.place_messages import PlaceMessage
from gooseberrydeal._internal.models.routing.quota_messages import (
    QuotaGrant,
    QuotaRequest,
)
from gooseberrydeal._internal.models.routing.stream_notice import (
    StreamNotice,
    StreamQuery,
)
from gooseberrydeal._internal.models.routing.usage_report import (
    UsageReport,
)
from gooseberrydeal._internal.network.crash_codec import (
    DECODE_ERRORS,
    crash_report_fields,
    parse_crash_report,
)
from gooseberrydeal._internal.network.engine_report_codec import (
    parse_status,
    parse_usage,
    status_fields,
    usage_fields,
)
from gooseberrydeal._internal.network.handover_codec import (
    handover_fields,
    parse_handover,
)
from gooseberrydeal._internal.network.isolation_codec import (
    isolation_notice_fields,
    parse_isolation_notice,
)
from gooseberrydeal._internal.network.limit_codec import (
    limit_report_fields,
    parse_limit_report,
)
from gooseberrydeal._internal.network.place_codec import (
    PLACE_PARSERS,
    place_message_fields,
)
from gooseberrydeal._internal.network.quota_codec import (
    parse_quota_grant,
    parse_quota_request,
    quota_grant_fields,
    quota_request_fields,
)
from gooseberrydeal._internal.network.stream_codec import (
    parse_stream_notice,
    parse_stream_query,
    stream_notice_fields,
    stream_query_fields,
)

Report = (
    UsageReport
    | EngineStatus
    | CrashReport
    | LimitReport
    | IsolationNotice
    | StreamNotice
    | StreamQuery
    | QuotaRequest
    | QuotaGrant
    | PlaceMessage
    | OwnerHandover
)

PROTOCOL_VERSION: Final = 1


class _ReportKind(IntEnum):
    USAGE = 1
    STATUS = 2
    CRASHES = 3
    LIMITS = 4
    ISOLATION = 5
    STREAM = 6
    STREAM_QUERY = 7
    QUOTA_REQUEST = 8
    QUOTA_GRANT = 9
    HANDOVER = 13


def encode_usage(report: UsageReport) -> bytes:
    """Encode a host's usage report."""
    fields = usage_fields(report)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.USAGE), *fields])


def encode_status(status: EngineStatus) -> bytes:
    """Encode the status of an engine."""
    fields = status_fields(status)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.STATUS), *fields])


def encode_crash_report(report: CrashReport) -> bytes:
    """Encode evidence about requests that may crash servers."""
    fields = crash_report_fields(report)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.CRASHES), *fields])


def encode_limit_report(report: LimitReport) -> bytes:
    """Encode what servers stated about their limits on requests."""
    fields = limit_report_fields(report)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.LIMITS), *fields])


def encode_isolation_notice(notice: IsolationNotice) -> bytes:
    """Encode a notice about a request that runs in isolation."""
    fields = isolation_notice_fields(notice)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.ISOLATION), *fields])


def encode_stream_notice(notice: StreamNotice) -> bytes:
    """Encode where a stream began."""
    fields = stream_notice_fields(notice)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.STREAM), *fields])


def encode_stream_query(query: StreamQuery) -> bytes:
    """Encode the question where a stream began."""
    fields = stream_query_fields(query)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.STREAM_QUERY), *fields])


def encode_quota_request(request: QuotaRequest) -> bytes:
    """Encode a request for tokens of accounts' quotas."""
    fields = quota_request_fields(request)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.QUOTA_REQUEST), *fields])


def encode_quota_grant(grant: QuotaGrant) -> bytes:
    """Encode a grant of tokens of accounts' quotas."""
    fields = quota_grant_fields(grant)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.QUOTA_GRANT), *fields])


def encode_place_message(message: PlaceMessage) -> bytes:
    """Encode a message about a place at a plain server."""
    return cbor2.dumps([PROTOCOL_VERSION, *place_message_fields(message)])


def encode_handover(handover: OwnerHandover) -> bytes:
    """Encode a message by which hosts hand over engines."""
    fields = handover_fields(handover)
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.HANDOVER), *fields])


def decode_report(data: bytes) -> Report | None:
    """Decode a report; return ``None`` if its kind is unknown, as from a newer host.

    Raises :class:`PeerProtocolError` if the data is not a valid report.
    """
    try:
        version, kind, *fields = cbor2.loads(data)
        if version != PROTOCOL_VERSION:
            raise PeerProtocolError(f"report version {version!r} is not supported")
        parse = _PARSERS.get(kind)
        if parse is not None:
            return parse(fields)
    except DECODE_ERRORS as error:
        raise PeerProtocolError(
            f"report has invalid encoding or fields: {error!r}"
        ) from error
    return None


_PARSERS: Final[dict[int, Callable[[list[Any]], Report]]] = {
    _ReportKind.USAGE: parse_usage,
    _ReportKind.STATUS: parse_status,
    _ReportKind.CRASHES: parse_crash_report,
    _ReportKind.LIMITS: parse_limit_report,
    _ReportKind.ISOLATION: parse_isolation_notice,
    _ReportKind.STREAM: parse_stream_notice,
    _ReportKind.STREAM_QUERY: parse_stream_query,
    _ReportKind.QUOTA_REQUEST: parse_quota_request,
    _ReportKind.QUOTA_GRANT: parse_quota_grant,
    **PLACE_PARSERS,
    _ReportKind.HANDOVER: parse_handover,
}
