"""Let a stream flow."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Credit:
    """Allow the sender of a stream that many more frames."""

    stream: int
    frames: int
