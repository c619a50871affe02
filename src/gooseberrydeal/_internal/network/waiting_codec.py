"""Encode and decode how many requests wait, by their rank."""

from collections.abc import Iterable
from typing import Any

from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.usage_report import WaitingCount
from gooseberrydeal._internal.network import field_range


def waiting_count_fields(counts: Iterable[WaitingCount]) -> list[Any]:
    """Return the fields of what a host reports, by position."""
    return [[item.service, item.rank, item.count] for item in counts]


def parse_waiting_counts(fields: object = ()) -> tuple[WaitingCount, ...]:
    """Return what a host reports; nothing without a list, as of other versions.

    Raises one of ``DECODE_ERRORS`` of the crash codec if the list is not valid.
    """
    if not isinstance(fields, list):
        return ()
    return tuple(
        WaitingCount(ServiceName(str(service)), int(rank), field_range.count(count))
        for service, rank, count, *_ in fields
    )


def rank_count_fields(counts: Iterable[tuple[int, int]]) -> list[Any]:
    """Return the fields of the sums for one service, by position."""
    return [[rank, count] for rank, count in counts]


def parse_rank_counts(fields: object = ()) -> tuple[tuple[int, int], ...]:
    """Return the sums for one service; nothing without a list, as of other versions.

    Raises one of ``DECODE_ERRORS`` of the crash codec if the list is not valid.
    """
    if not isinstance(fields, list):
        return ()
    return tuple((int(rank), field_range.count(count)) for rank, count, *_ in fields)
