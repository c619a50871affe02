"""Tell what is known of an adapter or a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExplainReply:
    """Carry recent events, the oldest first."""

    number: int
    host: str
    lines: tuple[str, ...]
