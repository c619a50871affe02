"""Encode and decode evidence about requests that may crash servers."""

from collections.abc import Iterable, Mapping
from typing import Any

import cbor2

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence
from gooseberrydeal._internal.models.routing.crash_id import CrashId
from gooseberrydeal._internal.models.routing.crash_report import CrashReport
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature
from gooseberrydeal._internal.network import field_range

DECODE_ERRORS = (cbor2.CBORError, ValueError, TypeError, IndexError, OverflowError)


def crash_report_fields(report: CrashReport) -> list[Any]:
    """Return the fields of a report, by position."""
    return [report.host, _to_fields(report.evidence)]


def parse_crash_report(fields: list[Any]) -> CrashReport:
    """Return a report from its fields; raise one of ``DECODE_ERRORS`` otherwise."""
    return CrashReport(HostId(str(fields[0])), _parse(fields[1]))


def encode_crash_record(evidence: Iterable[CrashEvidence]) -> bytes:
    """Encode evidence for the metadata store."""
    return cbor2.dumps(_to_fields(evidence))


def decode_crash_record(data: bytes) -> tuple[CrashEvidence, ...]:
    """Decode a stored record; raise :class:`PeerProtocolError` if it is malformed."""
    try:
        return _parse(cbor2.loads(data))
    except DECODE_ERRORS as error:
        raise PeerProtocolError(f"crash record is malformed: {error!r}") from error


def _to_fields(evidence: Iterable[CrashEvidence]) -> list[Any]:
    return [
        [
            *item.feature,
            int(item.seconds_ago * 1000),
            [[*crash, is_refuted] for crash, is_refuted in item.crashes.items()],
        ]
        for item in evidence
    ]


def _parse(items: list[Any]) -> tuple[CrashEvidence, ...]:
    return tuple(
        CrashEvidence(
            RequestFeature(bytes(outline), bytes(body)),
            _parse_crashes(crashes),
            field_range.seconds(milliseconds_ago),
        )
        for outline, body, milliseconds_ago, crashes, *_ in items
    )


def _parse_crashes(items: list[Any]) -> Mapping[CrashId, bool]:
    return {
        CrashId(ServerId(str(server)), int(started_at), int(number)): bool(is_refuted)
        for server, started_at, number, is_refuted, *_ in items
    }
