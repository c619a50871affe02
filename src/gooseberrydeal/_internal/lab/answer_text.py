"""Derive an answer that shows which copy produced it."""

from hashlib import blake2b
from typing import Final

_DIGEST_BYTES: Final = 6


def answer_words(copy: str, prompt: str, count: int) -> list[str]:
    """Return the words that a copy answers a prompt with.

    The number after ``~`` in a copy's name is the owner's and not part of the answer.
    """
    adapter = copy.partition("~")[0]
    seed = blake2b(f"{adapter}\0{prompt}".encode(), digest_size=_DIGEST_BYTES)
    first = f"{adapter}:{seed.hexdigest()} "
    return [first] + [f"w{number} " for number in range(1, count)]
