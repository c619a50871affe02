"""Describe the answer of a plain service."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlainAnswer:
    """Hold a whole HTTP answer."""

    status: int
    content_type: str
    body: bytes
