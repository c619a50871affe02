"""Compute what identifies a request and what it has in common with others."""

from functools import cached_property
from hashlib import blake2b
from typing import Final

from gooseberrydeal._internal.models.ids import PromptPartId, RequestId
from gooseberrydeal._internal.models.routing.request_feature import RequestFeature

_OUTLINE_DIGEST_BYTES: Final = 8
_BODY_DIGEST_BYTES: Final = 16


class RequestIdentity:
    """Identify a request by its path, its query, its caller and its body.

    All else may differ when a caller sends a request again. Digests are computed when
    first used, since most requests never need them. What the request may have in common
    with requests that differ are the parts of its prompt, and all but the query.
    """

    def __init__(
        self,
        request_id: RequestId,
        path: str,
        caller: str,
        body: bytes | bytearray,
        prompt_parts: tuple[PromptPartId, ...] = (),
        query: str = "",
    ) -> None:
        self._request_id = request_id
        self._path = path
        self._caller = caller
        self._body = body
        self._query = query
        self._part_ids = prompt_parts

    @property
    def request_id(self) -> RequestId:
        """Return the id of this attempt of the caller."""
        return self._request_id

    @cached_property
    def prompt_parts(self) -> tuple[RequestFeature, ...]:
        """Return the parts of the prompt that other requests may have, in order."""
        return tuple(map(RequestFeature.from_prompt_part, self._part_ids))

    @cached_property
    def shared_features(self) -> tuple[RequestFeature, ...]:
        """Return the features that requests that differ from this one may have too."""
        content = self._body_digest + _encode_fields(self._path, self._caller)
        digest = blake2b(content, digest_size=_BODY_DIGEST_BYTES).digest()
        return (*self.prompt_parts, RequestFeature.from_any_query(digest))

    @property
    def features(self) -> tuple[RequestFeature, ...]:
        """Return the request itself and what it may share with others."""
        return (self.fingerprint, *self.shared_features)

    @property
    def isolation_features(self) -> tuple[RequestFeature, ...]:
        """Return the request itself, and the feature for all but its query."""
        shared = (item for item in self.shared_features if item.is_any_query)
        return (self.fingerprint, *shared)

    @property
    def body_length(self) -> int:
        """Return the length of the body in bytes."""
        return len(self._body)

    @cached_property
    def outline(self) -> bytes:
        """Return the digest of all but the body's content."""
        fields = [self._path, self._caller, str(len(self._body))]
        if self._query:
            fields.append(self._query)
        text = _encode_fields(*fields)
        return blake2b(text, digest_size=_OUTLINE_DIGEST_BYTES).digest()

    @cached_property
    def fingerprint(self) -> RequestFeature:
        """Return the feature of this request alone; the body is read once for it."""
        return RequestFeature(self.outline, self._body_digest)

    @cached_property
    def _body_digest(self) -> bytes:
        return blake2b(self._body, digest_size=_BODY_DIGEST_BYTES).digest()


def _encode_fields(*fields: str) -> bytes:
    return "\0".join(fields).encode("utf-8", "surrogateescape")
