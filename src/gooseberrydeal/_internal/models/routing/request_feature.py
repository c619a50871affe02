"""Define what requests that crash servers may have in common."""

from hashlib import blake2b
from typing import Final, NamedTuple, Self

from gooseberrydeal._internal.models.ids import PromptPartId

_MAX_PART_ID_BYTES: Final = 32
_PART_ID_DIGEST_BYTES: Final = 16
# Begins the content of features that stand for requests with any query. No id of a
# part of prompts begins with it, since header fields cannot contain it.
_ANY_QUERY_PREFIX: Final = b"\0"


class RequestFeature(NamedTuple):
    """Identify a whole request that may come again, or what several requests share.

    For a request, ``outline`` is a digest of the path, the query, the caller and the
    body's length, ``content`` a digest of the body. ``outline`` is empty for what
    requests share: ``content`` is then the id of a part of their prompts, or a digest
    of it if it is long, or a digest of all but the query.
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

    @classmethod
    def from_any_query(cls, digest: bytes) -> Self:
        """Return the feature of requests that are the same but for their query."""
        return cls(b"", _ANY_QUERY_PREFIX + digest)

    @property
    def is_shared(self) -> bool:
        """Return whether requests that differ may have this feature."""
        return not self.outline

    @property
    def is_any_query(self) -> bool:
        """Return whether this stands for requests with any query."""
        return self.is_shared and self.content.startswith(_ANY_QUERY_PREFIX)

    def __str__(self) -> str:
        """Return the feature as used in logs."""
        if self.is_any_query:
            digest = self.content.removeprefix(_ANY_QUERY_PREFIX)
            return f"request with any query {digest.hex()}"
        if self.is_shared:
            return f"prompt part {self.content.decode('utf-8', 'backslashreplace')}"
        return f"request {self.outline.hex()}-{self.content.hex()}"
