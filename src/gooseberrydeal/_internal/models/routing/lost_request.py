"""Define the requests whose connection to a server was lost."""

from typing import NamedTuple

from gooseberrydeal._internal.models.ids import PromptPartId, RequestId
from gooseberrydeal._internal.models.routing.request_fingerprint import (
    RequestFingerprint,
)


class LostRequest(NamedTuple):
    """Identify a request without keeping its body."""

    request_id: RequestId
    fingerprint: RequestFingerprint
    prompt_parts: tuple[PromptPartId, ...] = ()
