"""Define what requests that crash servers may have in common."""

from hashlib import blake2b
from typing import Final, NamedTuple, Self

from gooseberrydeal._internal.models.ids import PromptPartId

_MAX_PART_ID_BYTES: Final = 32
_PART_ID_DIGEST_BYTES: Final = 16


class RequestFeature(NamedTuple):
    """Identify a whole request that may come again, or a part of prompts.

    For a request, ``outline`` is a digest of the path, the caller and the body's
    length, ``content`` a digest of the body. For a part, ``outline`` is empty and
    ``content`` is the part's id, or a digest of it if it is long.
    """

    outline: bytes
    content: bytes

    @classmethod
    def from_prompt_part(cls, part: PromptPartId) -> Self:
        """Return the feature of all requests whose prompts have this part."""
        content = part.encode("utf-8", "surrogateescape")
        if len(content) > _MAX_PART_ID_BYTES:
            content = blake2b(content, digest_size=_PART_ID_DIGEST_BYTES).digest()
        return cls(b"", content)

    @property
    def is_prompt_part(self) -> bool:
        """Return whether this is a part of prompts."""
        return not self.outline

    def __str__(self) -> str:
        """Return the feature as used in logs."""
        if self.is_prompt_part:
            return f"prompt part {self.content.decode('utf-8', 'backslashreplace')}"
        return f"request {self.outline.hex()}-{self.content.hex()}"
