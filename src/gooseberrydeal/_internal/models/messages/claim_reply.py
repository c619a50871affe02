"""Define the response to an idempotency claim."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Report the result of the claim with the same ``number``.

    ``claim_status`` is a :class:`ClaimStatus` value. For a repeat, the other fields
    hold what is known about the first execution.
    """

    number: int
    claim_status: str
    ran: str = "unknown"
    status: int = 0
    content_type: str = ""
    answer: bytes = b""
    entry_host: str = ""
