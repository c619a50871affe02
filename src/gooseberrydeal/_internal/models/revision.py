"""Describe a revision of the configuration."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import RevisionNumber


@dataclass(frozen=True, slots=True)
class Revision:
    """Name the chunks that make up one revision.

    ``chunks`` holds the SHA-256 of each chunk, in order. ``attempt`` identifies the
    submission that wrote the revision.
    """

    number: RevisionNumber
    chunks: tuple[str, ...]
    attempt: str
    author: str
