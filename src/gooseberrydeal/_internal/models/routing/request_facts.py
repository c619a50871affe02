"""Define the metadata read from a caller's request."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import PromptPartId, RequestId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey


@dataclass(frozen=True, slots=True)
class RequestAttributes:
    """Hold the properties that determine how a request is served.

    ``caller`` is the credential that identifies the caller's account, empty if there
    is none. ``time_limit`` is how many seconds the caller waits, ``None`` if not
    stated.
    ``prompt_tokens`` and ``output_tokens`` are the counts that the caller states, 0 if
    it does not. ``shared_prompt_parts`` names the parts of the prompt, in order, that
    other requests may have too. ``query`` is the part of the target after the path.
    """

    request_id: RequestId
    host: str
    path: str
    time_limit: float | None
    adapter: AdapterKey | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    caller: str = ""
    shared_prompt_parts: tuple[PromptPartId, ...] = ()
    query: str = ""
