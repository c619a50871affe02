"""Define the message that lends load permits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Lend ``count`` load permits to the requesting host.

    ``sent_at`` is the time of the request by the borrower's clock.
    """

    host: str
    epoch: int
    count: int
    sent_at: float
