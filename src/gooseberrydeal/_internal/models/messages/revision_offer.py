"""Define the announcement of a configuration revision."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RevisionOffer:
    """Announce the revision that the sender uses and the digests of its chunks."""

    number: int
    chunks: tuple[str, ...]
    attempt: str
    author: str
