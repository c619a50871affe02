"""Describe a generation on an engine."""

from dataclasses import dataclass
from typing import Any

from gooseberrydeal._internal.models.ids import RequestId


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """Ask an engine to generate with a loaded copy.

    ``parameters`` is the caller's checked JSON body. ``offset`` counts the tokens to
    skip when a stream is resumed.
    """

    request_id: RequestId
    copy: str
    is_chat: bool
    parameters: dict[str, Any]
    priority: int = 0
    offset: int = 0
