"""Check that a connection is alive."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask the peer for an answer with the same number."""

    number: int
    is_answer: bool = False
