"""Define the refusal of a request."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal_reason import RefusalReason


@dataclass(frozen=True, slots=True)
class Refusal:
    """Tell why a request has no complete answer and whether it was executed.

    ``retry_after`` is in seconds; ``None`` means that a retry would not succeed.
    """

    reason: RefusalReason
    ran: Ran
    detail: str = ""
    retry_after: float | None = None
