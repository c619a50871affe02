"""Ask for a durable claim."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Ask the owner of a key range to claim a request that must not be repeated."""

    number: int
    key: str
    request_id: str
    body_hash: str
    entry_host: str
