"""Define a request in a server's queue."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.ids import CallerName, ClassName, RequestId


@dataclass(frozen=True, slots=True)
class WorkItem:
    """Hold the properties of a queued request that scheduling depends on.

    ``arrived`` and ``deadline`` are monotonic times in seconds. ``slot_seconds`` is
    the estimated time that the request will occupy one of the server's running slots.
    ``is_suspect`` marks a request that may crash the server, as an identical one was
    running when a server crashed; it runs alone.
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
