"""Describe the server assigned to a request, or why none was assigned."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.server_record import ServerRecord


@dataclass(frozen=True, slots=True)
class Assignment:
    """Hold the server of a request and the adapter copy that it uses there.

    ``load_wait`` is the time, in seconds, that the request waited for a load.
    """

    record: ServerRecord
    copy: AdapterCopyKey | None = None
    load_wait: float = 0.0


@dataclass(frozen=True, slots=True)
class NoAssignment:
    """Hold the reason for a refusal and the ``Retry-After`` time in seconds.

    ``other_hosts`` are those that may serve the request instead of this one.
    """

    reason: RefusalReason
    retry_after: float
    other_hosts: tuple[HostId, ...] = ()
