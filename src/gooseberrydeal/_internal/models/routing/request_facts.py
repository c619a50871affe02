"""Define the metadata read from a caller's request."""

from dataclasses import dataclass, field

from gooseberrydeal._internal.models.ids import PromptPartId, RequestId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """Hold the properties that determine how a request is served.

    ``caller`` is the credential that identifies the caller's account, empty if there
    is none, and ``key`` the key in it, ``None`` without a credential and empty if that
    is malformed. ``time_limit`` is how many seconds the caller waits, ``None`` if not
    stated.
    ``prompt_tokens`` and ``output_tokens`` are the counts that the caller states, 0 if
    it does not. ``shared_prompt_parts`` names the parts of the prompt, in order, that
    other requests may have too. ``query`` is the part of the target after the path.
    ``resumes`` is the id of the request that began the stream, ``None`` if not stated,
    and ``last_event_id`` the id of the last event that the caller has.
    """

    request_id: RequestId
    host: str
    path: str
    time_limit: float | None
    adapter: AdapterKey | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    caller: str = field(default="", repr=False)
    shared_prompt_parts: tuple[PromptPartId, ...] = ()
    query: str = ""
    resumes: RequestId | None = None
    last_event_id: str = ""
    key: bytes | None = field(default=None, repr=False)

    @property
    def is_resumption(self) -> bool:
        """Return whether the caller has a part of the stream already."""
        return bool(self.resumes or self.last_event_id)
