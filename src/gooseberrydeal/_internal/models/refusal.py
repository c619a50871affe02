"""Describe a refused request."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal_reason import RefusalReason


@dataclass(frozen=True, slots=True)
class Refusal:
    """Say why a request has no whole answer and whether it was run.

    ``retry_after`` is in seconds; ``None`` means that asking again is no use.
    """

    reason: RefusalReason
    ran: Ran
    detail: str = ""
    retry_after: float | None = None
