"""Define the response with the recent events of an adapter or a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExplainReply:
    """Carry the recent events on one host as lines of text, oldest first."""

    number: int
    host: str
    lines: tuple[str, ...]
