"""Define the message that cancels a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel the request of a stream, whose answer is no longer needed."""

    stream: int
