"""Ask for configuration chunks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Ask a peer for the chunks with these digests."""

    digests: tuple[str, ...]
