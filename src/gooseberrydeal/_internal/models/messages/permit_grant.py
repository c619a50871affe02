"""Lend load permits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Lend permits; ``sent_at`` is the time on the borrower's clock when it asked."""

    host: str
    epoch: int
    count: int
    sent_at: float
