"""Define the keep-alive message of a connection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ping:
    """Check that the peer is alive.

    The peer answers with the same ``number`` and ``is_answer`` set.
    """

    number: int
    is_answer: bool = False
