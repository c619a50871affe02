"""Ask an owner what it knows of an adapter or a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Ask for the recent events of an adapter or a request id."""

    number: int
    subject: str
