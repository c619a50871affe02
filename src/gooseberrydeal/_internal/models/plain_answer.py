"""Define the response of a plain service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """Hold a complete HTTP response."""

    status: int
    content_type: str
    body: bytes
