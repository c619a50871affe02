"""Describe a request that waits for a server."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.ids import CallerName, ClassName, RequestId


@dataclass(frozen=True, slots=True)
class WorkItem:
    """Hold what the queue needs to know of a request.

    Times are monotonic seconds; ``slot_seconds`` estimates how long the request
    will hold one of the server's running slots.
    """

    request_id: RequestId
    caller: CallerName
    work_class: ClassName
    importance: int
    arrived: float
    deadline: float
    slot_seconds: float
    adapter: AdapterRef | None = None
    is_suspect: bool = False
