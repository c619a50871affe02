"""Define an admitted request at the entry."""

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

_NO_OPERATION: Final = OperationName("")


@dataclass(frozen=True, slots=True)
class WorkOrder:
    """Hold a request with all names and defaults resolved at admission.

    ``call`` is ``chat``, ``completion`` or ``plain``. ``deadline`` is the monotonic
    time, in seconds, after which a first token is useless. Requests with the same
    ``fingerprint`` have the same target and body; it is empty if the request must not
    be repeated. Those with the same ``affinity`` share a caller and a prompt prefix.
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
    operation: OperationName = _NO_OPERATION
    content_type: str = "application/json"
    fingerprint: str = ""
    affinity: str = ""
