"""Define the request for load permits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Ask a peer to lend load permits; the grant echoes ``sent_at``."""

    host: str
    epoch: int
    requested_count: int
    sent_at: float
