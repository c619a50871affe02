"""Define a generation request to an engine."""

from dataclasses import dataclass
from typing import Any

from gooseberrydeal._internal.models.ids import RequestId


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """Request a generation with an adapter copy that the engine has loaded.

    ``copy`` is the name of the copy and ``parameters`` the caller's validated JSON
    body. ``offset`` is the number of tokens to skip when a stream is resumed.
    """

    request_id: RequestId
    copy: str
    is_chat: bool
    parameters: dict[str, Any]
    priority: int = 0
    offset: int = 0
