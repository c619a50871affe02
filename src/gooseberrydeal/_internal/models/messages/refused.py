"""End a stream without a whole answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refused:
    """Say why the owner gives no whole answer and whether the request ran."""

    stream: int
    request_id: str
    reason: str
    ran: str
    detail: str = ""
    retry_after: float = 0.0
