"""Describe why a request got no place."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NoPlace:
    """Hold after how many seconds a place is expected.

    With ``is_final`` none is free in time for the request; otherwise it may ask again.
    """

    seconds: float
    is_final: bool
