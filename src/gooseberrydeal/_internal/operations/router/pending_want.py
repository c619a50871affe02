"""Describe the adapter load that a waiting request has requested."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class PendingLoad:
    """Hold the engine, the copy to load and when the load was requested.

    ``is_queued`` is true if the engine had no free slot at that time.
    """

    record: ServerRecord
    copy: AdapterCopyKey
    requested_at: float
    is_queued: bool
