"""Define the response with configuration chunks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChunkReply:
    """Carry the requested chunks; the receiver checks each against its digest."""

    chunks: tuple[bytes, ...]
