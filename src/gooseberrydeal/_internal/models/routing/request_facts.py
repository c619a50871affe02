"""Describe what the system reads from a caller's request."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """Hold the fields that decide how a request is served.

    ``patience`` is how many seconds the caller waits. ``prompt_parts`` names the parts
    of the prompt in order, each with its tokens; requests share the first ones.
    """

    request_id: RequestId
    host: str
    path: str
    patience: float | None
    adapter: AdapterKey | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[tuple[str, int], ...] = ()
