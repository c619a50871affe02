"""Generate deterministic answers that identify the adapter which produced them."""

from hashlib import blake2b
from typing import Final

_DIGEST_BYTES: Final = 6


def answer_words(copy: str, prompt: str, count: int) -> list[str]:
    """Return the ``count`` words with which an adapter copy answers a prompt.

    A copy is named ``adapter@version~number``. The number is the fencing number of the
    owner that loaded the copy; it does not affect the answer.
    """
    adapter = copy.partition("~")[0]
    digest = blake2b(f"{adapter}\0{prompt}".encode(), digest_size=_DIGEST_BYTES)
    first_word = f"{adapter}:{digest.hexdigest()} "
    return [first_word] + [f"w{number} " for number in range(1, count)]
