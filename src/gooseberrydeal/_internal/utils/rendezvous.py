"""Rank candidates by rendezvous hashing (highest random weight)."""

from collections.abc import Iterable
from hashlib import blake2b

_WEIGHT_BYTES = 8


def weight(key: str, candidate: str) -> int:
    """Return the hash weight of a candidate for a key."""
    digest = blake2b(f"{key}\0{candidate}".encode(), digest_size=_WEIGHT_BYTES)
    return int.from_bytes(digest.digest(), "big")


def ranked(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending order of their weight for a key."""
    return sorted(candidates, key=lambda item: weight(key, item), reverse=True)


def first(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest weight, or ``None`` without candidates."""
    return max(candidates, key=lambda item: weight(key, item), default=None)
