"""Define the request for an idempotency claim."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Request a durable claim of ``key`` for a request that must not be repeated.

    The message goes to the owner of the key's range. The reply has the same ``number``.
    """

    number: int
    key: str
    request_id: str
    body_hash: str
    entry_host: str
