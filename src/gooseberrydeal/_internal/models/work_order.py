"""Describe an admitted request at the entry."""

from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.ids import (
    CallerName,
    ClassName,
    OperationName,
    RequestId,
    ServiceName,
)

NO_OPERATION: Final = OperationName("")


@dataclass(frozen=True, slots=True)
class WorkOrder:
    """Hold what was resolved once, at admission.

    ``deadline`` is the monotonic time by which the first token is of use.
    """

    request_id: RequestId
    caller: CallerName
    service: ServiceName
    call: str
    work_class: ClassName
    deadline: float
    expected_tokens: int
    body: bytes
    is_repeatable: bool
    adapter: AdapterRef | None = None
    operation: OperationName = NO_OPERATION
    content_type: str = "application/json"
    fingerprint: str = ""
    affinity: str = ""
