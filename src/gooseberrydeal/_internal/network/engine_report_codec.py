"""Encode and decode what hosts tell engines' owners, and owners tell hosts.

Fields are encoded by position, and fractions as integers. Hosts of earlier versions
send fewer fields.
"""

from functools import lru_cache
from typing import Any, Final

from gooseberrydeal._internal.models.ids import FencingNumber, HostId, ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import (
    CopyStatus,
    EngineStatus,
)
from gooseberrydeal._internal.models.routing.usage_report import (
    CopyLoadRequest,
    CopyUse,
    EngineUsage,
    UsageReport,
)
from gooseberrydeal._internal.network import field_range
from gooseberrydeal._internal.network.speed_codec import (
    observation_fields,
    parse_observations,
    parse_speed,
    speed_fields,
)
from gooseberrydeal._internal.network.waiting_codec import (
    parse_rank_counts,
    parse_waiting_counts,
    rank_count_fields,
    waiting_count_fields,
)

# Copy states are encoded as their index in this list.
_COPY_STATES: Final = (CopyState.READY, CopyState.LOADING, CopyState.UNLOADING)
# Position of the warm copies in a status; hosts of earlier versions send fewer fields.
_WARM_COPIES_INDEX: Final = 14
_MAX_CACHED_COPIES: Final = 4_096


def usage_fields(report: UsageReport) -> list[Any]:
    """Return the fields of a host's usage report, by position."""
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
    fields: list[Any] = [report.host, report.incarnation, report.sequence, engines]
    if report.waiting:
        fields.append(waiting_count_fields(report.waiting))
    return fields


def _observations(engine: EngineUsage) -> list[Any]:
    """Return the field of the observations, which is left out if there are none."""
    return [observation_fields(engine.observations)] if engine.observations else []


def status_fields(status: EngineStatus) -> list[Any]:
    """Return the fields of the status of an engine, by position."""
    copies = [
        [*copy.key, _COPY_STATES.index(copy.state), int(copy.ready_in * 1000)]
        for copy in status.copies
    ]
    fields: list[Any] = [
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
    return fields


def parse_usage(fields: list[Any]) -> UsageReport:
    """Return a report from its fields; raise one of ``DECODE_ERRORS`` otherwise."""
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
        field_range.count(requests),
        field_range.count(tokens),
        field_range.count(pending_prefill_tokens),
        field_range.slowdown(slowdown),
        field_range.seconds(slowdown_age),
        tuple(
            CopyUse(
                _parse_key(item), field_range.count(item[3]), field_range.count(item[4])
            )
            for item in copy_uses
        ),
        tuple(
            CopyLoadRequest(
                _parse_key(item),
                field_range.count(item[3]),
                field_range.signed_seconds(item[4]),
                bool(item[5]),
            )
            for item in load_requests
        ),
        parse_observations(fields[8:]),
    )


def parse_status(fields: list[Any]) -> EngineStatus:
    """Return a status from its fields; raise one of ``DECODE_ERRORS`` otherwise."""
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
        field_range.count(spare_slots),
        field_range.count(requests),
        field_range.count(tokens),
        field_range.count(pending_prefill_tokens),
        field_range.slowdown(slowdown),
        tuple(map(str, base_models)),
        tuple(_copy_status(*item[:5]) for item in copies),
        parse_speed(fields[12:]),
        parse_rank_counts(*fields[13:14]),
        _parse_warm_copies(fields[_WARM_COPIES_INDEX:]),
    )


def _parse_warm_copies(fields: list[Any]) -> bytes:
    return fields[0] if fields and isinstance(fields[0], bytes) else b""


def _parse_key(fields: list[Any]) -> AdapterCopyKey:
    return _copy_key(*fields[:3])


# Most copies in a status are those of the status before it.
@lru_cache(maxsize=_MAX_CACHED_COPIES)
def _copy_status(
    model: str, adapter: str, version: int, state: int, ready_in_ms: int
) -> CopyStatus:
    key = _copy_key(model, adapter, version)
    return CopyStatus(key, _COPY_STATES[state], field_range.seconds(ready_in_ms))


@lru_cache(maxsize=_MAX_CACHED_COPIES)
def _copy_key(model: str, adapter: str, version: int) -> AdapterCopyKey:
    return AdapterCopyKey(str(model), str(adapter), int(version))
