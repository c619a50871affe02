"""Carry configuration chunks."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChunkReply:
    """Carry chunks; the receiver checks each against its digest."""

    chunks: tuple[bytes, ...]
