"""Remember which engine a waiting request has asked for a load."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class PendingWant:
    """Name the engine and the copy; ``is_queued`` if it had no slot to give then."""

    record: ServerRecord
    copy: AdapterCopyKey
    asked_at: float
    is_queued: bool
