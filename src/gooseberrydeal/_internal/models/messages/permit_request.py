"""Ask for load permits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Ask a peer to lend permits; ``sent_at`` is echoed in the grant."""

    host: str
    epoch: int
    wanted: int
    sent_at: float
