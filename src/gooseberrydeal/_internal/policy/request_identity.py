"""Compute what identifies a request and what it has in common with others."""

from functools import cached_property
from hashlib import blake2b
from typing import Final

from gooseberrydeal._internal.models.ids import PromptPartId, RequestId
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature

_OUTLINE_DIGEST_BYTES: Final = 8
_BODY_DIGEST_BYTES: Final = 16


class RequestIdentity:
    """Identify a request by its path without the query, its caller and its body.

    All else may differ when a caller sends a request again. Both digests are computed
    when first used, since most requests never need them. The parts of the prompt are
    what the request may have in common with requests that differ from it.
    """

    def __init__(
        self,
        request_id: RequestId,
        path: str,
        caller: str,
        body: bytes,
        prompt_parts: tuple[PromptPartId, ...] = (),
    ) -> None:
        self._request_id = request_id
        self._path = path
        self._caller = caller
        self._body = body
        self._parts = tuple(map(RequestFeature.from_prompt_part, prompt_parts))

    @property
    def request_id(self) -> RequestId:
        """Return the id of this attempt of the caller."""
        return self._request_id

    @property
    def parts(self) -> tuple[RequestFeature, ...]:
        """Return the parts of the prompt that other requests may have too."""
        return self._parts

    @property
    def features(self) -> tuple[RequestFeature, ...]:
        """Return the request itself and the parts of its prompt."""
        return (self.fingerprint, *self._parts)

    @property
    def body_length(self) -> int:
        """Return the length of the body in bytes."""
        return len(self._body)

    @cached_property
    def outline(self) -> bytes:
        """Return the digest of all but the body's content."""
        fields = (self._path, self._caller, str(len(self._body)))
        text = "\0".join(fields).encode("utf-8", "surrogateescape")
        return blake2b(text, digest_size=_OUTLINE_DIGEST_BYTES).digest()

    @cached_property
    def fingerprint(self) -> RequestFeature:
        """Return the feature of this request alone; the body is read once for it."""
        digest = blake2b(self._body, digest_size=_BODY_DIGEST_BYTES).digest()
        return RequestFeature(self.outline, digest)
