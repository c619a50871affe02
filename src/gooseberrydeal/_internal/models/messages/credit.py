"""Define the flow control message of a stream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Credit:
    """Allow the sender of a stream to send ``frames`` more frames."""

    stream: int
    frames: int
