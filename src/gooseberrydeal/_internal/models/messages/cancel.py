"""Withdraw a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Cancel:
    """Say that nobody waits for the stream any more."""

    stream: int
