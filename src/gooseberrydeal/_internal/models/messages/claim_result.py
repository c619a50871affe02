"""Record how a claimed request ended."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Ask the owner of a key range to record an outcome and a small answer.

    ``ran`` is ``no`` only where no byte can have reached a server; then the key may
    be claimed anew.
    """

    number: int
    key: str
    request_id: str
    body_hash: str
    entry_host: str
    ran: str
    status: int = 0
    content_type: str = ""
    answer: bytes = b""
