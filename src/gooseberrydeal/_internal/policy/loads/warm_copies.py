"""Summarize in a few bytes which adapter copies an engine can load without a fetch."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import Final

from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey

# A Bloom filter of 1,024 bits takes 128 bytes of a status. With 96 copies and three
# bits each, a copy that is not there seems to be in 1.5 of 100 cases, which costs a
# fetch that was not expected.
_FILTER_BYTES: Final = 128
_BITS_PER_COPY: Final = 3
_BIT_COUNT: Final = 8 * _FILTER_BYTES
_MAX_CACHED_POSITIONS: Final = 8_192


class WarmCopies:
    """Answer whether an engine probably keeps a copy's weights in its memory."""

    def __init__(self, bits: int = 0) -> None:
        self._bits = bits

    @classmethod
    def from_keys(cls, keys: Iterable[AdapterCopyKey]) -> "WarmCopies":
        """Return the summary of the given copies."""
        bits = 0
        for key in keys:
            bits |= _mask(key)
        return cls(bits)

    @classmethod
    def decode(cls, data: bytes) -> "WarmCopies | None":
        """Return an encoded summary, ``None`` unless it has the right length."""
        if len(data) != _FILTER_BYTES:
            return None
        return cls(int.from_bytes(data, "big"))

    def encode(self) -> bytes:
        """Return the summary as bytes of a fixed length."""
        return self._bits.to_bytes(_FILTER_BYTES, "big")

    def __contains__(self, key: AdapterCopyKey) -> bool:
        """Return whether a copy was probably among the summarized ones."""
        mask = _mask(key)
        return self._bits & mask == mask


@lru_cache(maxsize=_MAX_CACHED_POSITIONS)
def _mask(key: AdapterCopyKey) -> int:
    text = f"{key.model}/{key.adapter}@{key.version}".encode()
    digest = blake2b(text, digest_size=2 * _BITS_PER_COPY).digest()
    mask = 0
    for start in range(0, len(digest), 2):
        position = int.from_bytes(digest[start : start + 2], "big") % _BIT_COUNT
        mask |= 1 << position
    return mask
