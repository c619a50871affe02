"""Define the message with a part of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tokens:
    """Carry a batch of tokens; ``number`` counts the frames of a stream from 0."""

    stream: int
    number: int
    count: int
    text: str
