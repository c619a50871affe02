"""Announce a configuration revision."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RevisionOffer:
    """Name the chunks of the newest revision that the sender has in force."""

    number: int
    chunks: tuple[str, ...]
    attempt: str
    author: str
