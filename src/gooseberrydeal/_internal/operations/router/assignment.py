"""Describe where a request goes, or why it goes nowhere."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class Assignment:
    """Name a server and the adapter copy that the request uses there.

    ``load_wait`` is for how many seconds it was waited for a load.
    """

    record: ServerRecord
    copy: AdapterCopyKey | None = None
    load_wait: float = 0.0


@dataclass(frozen=True, slots=True)
class NoAssignment:
    """Refuse a request; ``retry_after`` is in seconds."""

    reason: RefusalReason
    retry_after: float
