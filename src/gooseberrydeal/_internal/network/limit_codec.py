"""Encode and decode reports about the limits that servers state."""

from typing import Any

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.limit_report import (
    LimitReport,
    LimitStatement,
)
from gooseberrydeal._internal.network import field_range


def limit_report_fields(report: LimitReport) -> list[Any]:
    """Return the fields of a report, by position."""
    demands = [
        [service, int(demand * 1000)] for service, demand in report.demands.items()
    ]
    statements = [
        [
            item.server,
            item.started_at,
            _to_thousandths(item.requests_per_second),
            int(item.seconds_ago * 1000),
        ]
        for item in report.statements
    ]
    return [report.host, demands, statements]


def parse_limit_report(fields: list[Any]) -> LimitReport:
    """Return a report from its fields.

    Raises one of ``DECODE_ERRORS`` of the crash codec if they are not valid.
    """
    host, demands, statements = fields[:3]
    return LimitReport(
        HostId(str(host)),
        {
            ServiceName(str(service)): field_range.count(demand) / 1000
            for service, demand, *_ in demands
        },
        tuple(
            LimitStatement(
                ServerId(str(server)),
                int(started_at),
                None if limit is None else field_range.count(limit) / 1000,
                field_range.seconds(milliseconds_ago),
            )
            for server, started_at, limit, milliseconds_ago, *_ in statements
        ),
    )


def _to_thousandths(limit: float | None) -> int | None:
    return None if limit is None else int(limit * 1000)
