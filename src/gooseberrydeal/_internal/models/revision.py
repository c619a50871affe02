"""Define a revision of the configuration."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import RevisionNumber


@dataclass(frozen=True, slots=True)
class Revision:
    """List the chunks of a configuration revision.

    ``chunks`` holds the SHA-256 digest of each chunk, in order. ``attempt`` identifies
    the submission that wrote the revision.
    """

    number: RevisionNumber
    chunks: tuple[str, ...]
    attempt: str
    author: str
