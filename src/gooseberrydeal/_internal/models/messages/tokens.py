"""Carry a part of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Tokens:
    """Carry coalesced tokens; ``number`` counts the frames of a stream from 0."""

    stream: int
    number: int
    count: int
    text: str
