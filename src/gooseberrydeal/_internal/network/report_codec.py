"""Encode and decode the reports between hosts as CBOR datagrams.

Fields are encoded by position, and fractions as integers. Each report replaces the one
before it, so that a lost datagram only delays the update until the next report.
"""

from collections.abc import Callable
from enum import IntEnum
from functools import lru_cache
from typing import Any, Final

import cbor2

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.ids import FencingNumber, HostId, ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.crash_report import CrashReport
from gooseberrydeal._internal.models.routing.engine_status import (
    CopyStatus,
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
    CopyLoadRequest,
    CopyUse,
    EngineUsage,
    UsageReport,
)
from gooseberrydeal._internal.network.crash_codec import (
    DECODE_ERRORS,
    crash_report_fields,
    parse_crash_report,
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
from gooseberrydeal._internal.network.speed_codec import (
    observation_fields,
    parse_observations,
    parse_speed,
    speed_fields,
)
from gooseberrydeal._internal.network.stream_codec import (
    parse_stream_notice,
    parse_stream_query,
    stream_notice_fields,
    stream_query_fields,
)
from gooseberrydeal._internal.network.waiting_codec import (
    parse_rank_counts,
    parse_waiting_counts,
    rank_count_fields,
    waiting_count_fields,
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
# Copy states are encoded as their index in this list.
_COPY_STATES: Final = (CopyState.READY, CopyState.LOADING, CopyState.UNLOADING)
# Position of the warm copies in a status; hosts of earlier versions send fewer fields.
_WARM_COPIES_INDEX: Final = 14
_MAX_CACHED_COPIES: Final = 4_096


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
    engines = [
        [
            engine.server,
            engine.requests,
            engine.tokens,
            engine.pending_prefill_tokens,
            int(engine.slowdown * 100),
            int(min(60.0, engine.slowdown_age) * 1000),
            [[*use.key, use.in_flight, use.started] for use in engine.copy_uses],
            [
                [
                    *load_request.key,
                    load_request.waiting,
                    int(load_request.slack * 1000),
                    load_request.is_missing,
                ]
                for load_request in engine.load_requests
            ],
            *_observations(engine),
        ]
        for engine in report.engines
    ]
    fields = [report.host, report.incarnation, report.sequence, engines]
    if report.waiting:
        fields.append(waiting_count_fields(report.waiting))
    return cbor2.dumps([PROTOCOL_VERSION, int(_ReportKind.USAGE), *fields])


def _observations(engine: EngineUsage) -> list[Any]:
    """Return the field of the observations, which is left out if there are none."""
    return [observation_fields(engine.observations)] if engine.observations else []


def encode_status(status: EngineStatus) -> bytes:
    """Encode the status of an engine."""
    copies = [
        [*copy.key, _COPY_STATES.index(copy.state), int(copy.ready_in * 1000)]
        for copy in status.copies
    ]
    fields = [
        status.owner,
        status.server,
        status.fencing_number,
        status.sequence,
        status.may_load,
        status.spare_slots,
        status.requests,
        status.tokens,
        status.pending_prefill_tokens,
        int(status.slowdown * 100),
        list(status.base_models),
        copies,
    ]
    if status.speed is not None or status.waiting or status.warm_copies:
        fields.append([] if status.speed is None else speed_fields(status.speed))
    if status.waiting or status.warm_copies:
        fields.append(rank_count_fields(status.waiting))
    if status.warm_copies:
        fields.append(status.warm_copies)
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


def _parse_usage(fields: list[Any]) -> UsageReport:
    host, incarnation, sequence, engines = fields[:4]
    return UsageReport(
        HostId(str(host)),
        int(incarnation),
        int(sequence),
        tuple(map(_parse_engine_usage, engines)),
        parse_waiting_counts(*fields[4:5]),
    )


def _parse_engine_usage(fields: list[Any]) -> EngineUsage:
    (
        server,
        requests,
        tokens,
        pending_prefill_tokens,
        slowdown,
        slowdown_age,
        copy_uses,
        load_requests,
    ) = fields[:8]
    return EngineUsage(
        ServerId(str(server)),
        int(requests),
        int(tokens),
        int(pending_prefill_tokens),
        int(slowdown) / 100,
        int(slowdown_age) / 1000,
        tuple(
            CopyUse(_parse_key(item), int(item[3]), int(item[4])) for item in copy_uses
        ),
        tuple(
            CopyLoadRequest(
                _parse_key(item), int(item[3]), int(item[4]) / 1000, bool(item[5])
            )
            for item in load_requests
        ),
        parse_observations(fields[8:]),
    )


def _parse_status(fields: list[Any]) -> EngineStatus:
    owner, server, fencing_number, sequence, may_load, spare_slots = fields[:6]
    requests, tokens, pending_prefill_tokens, slowdown, base_models, copies = fields[
        6:12
    ]
    return EngineStatus(
        HostId(str(owner)),
        ServerId(str(server)),
        FencingNumber(int(fencing_number)),
        int(sequence),
        bool(may_load),
        int(spare_slots),
        int(requests),
        int(tokens),
        int(pending_prefill_tokens),
        int(slowdown) / 100,
        tuple(map(str, base_models)),
        tuple(_copy_status(*item[:5]) for item in copies),
        parse_speed(fields[12:]),
        parse_rank_counts(*fields[13:14]),
        bytes(fields[_WARM_COPIES_INDEX]) if len(fields) > _WARM_COPIES_INDEX else b"",
    )


def _parse_key(fields: list[Any]) -> AdapterCopyKey:
    return _copy_key(*fields[:3])


# Most copies in a status are those of the status before it.
@lru_cache(maxsize=_MAX_CACHED_COPIES)
def _copy_status(
    model: str, adapter: str, version: int, state: int, ready_in_ms: int
) -> CopyStatus:
    key = _copy_key(model, adapter, version)
    return CopyStatus(key, _COPY_STATES[state], int(ready_in_ms) / 1000)


@lru_cache(maxsize=_MAX_CACHED_COPIES)
def _copy_key(model: str, adapter: str, version: int) -> AdapterCopyKey:
    return AdapterCopyKey(str(model), str(adapter), int(version))


_PARSERS: Final[dict[int, Callable[[list[Any]], Report]]] = {
    _ReportKind.USAGE: _parse_usage,
    _ReportKind.STATUS: _parse_status,
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
