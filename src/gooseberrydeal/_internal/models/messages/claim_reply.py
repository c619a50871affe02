"""Answer a claim."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Say what became of a claim.

    ``verdict`` is a :class:`ClaimVerdict` value. A repeat carries what is known of
    the first run.
    """

    number: int
    verdict: str
    ran: str = "unknown"
    status: int = 0
    content_type: str = ""
    answer: bytes = b""
    entry_host: str = ""
