"""Define the request for configuration chunks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Request the chunks with these SHA-256 digests from a peer."""

    digests: tuple[str, ...]
