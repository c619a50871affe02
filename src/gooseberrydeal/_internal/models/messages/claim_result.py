"""Define the message that records the outcome of a claimed request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Ask the owner of the key's range to record an outcome and, if small, the answer.

    ``ran`` is ``no`` only if no byte of the request can have reached a server; the key
    can then be claimed again.
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
