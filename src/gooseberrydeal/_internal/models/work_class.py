"""Describe a class of work."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class WorkClass(Declared):
    """Declare how a class of work shares the servers.

    ``weight`` is its share under contention, ``max_share`` the part of a server's
    running requests that it may hold, ``deadline_seconds`` the time to first token
    after which an answer is of no use, ``importance`` the order of shedding.
    """

    kind: Literal["class"] = "class"
    name: Name
    weight: float = Field(default=1.0, gt=0)
    max_share: float = Field(default=1.0, gt=0, le=1.0)
    deadline_seconds: float = Field(default=10.0, gt=0)
    importance: int = Field(default=1, ge=0, le=9)
    engine_priority: int = Field(default=0, ge=0, le=100)
    expected_tokens: int = Field(default=32, ge=1)
    aging_seconds: float = Field(default=15.0, gt=0)
