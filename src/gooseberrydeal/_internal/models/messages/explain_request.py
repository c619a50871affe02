"""Define the query for the recent events of an adapter or a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExplainRequest:
    """Query the recent events whose subject is an adapter or a request id."""

    number: int
    subject: str
