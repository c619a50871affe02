"""Define the configuration entry of a work class."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class WorkClass(Declared):
    """Declare how a class of requests is scheduled on the servers.

    ``weight`` is the relative share of a contended server, ``max_share`` the maximum
    fraction of a server's running slots. ``deadline_seconds`` is the time to first
    token after which an answer is useless. Requests of low ``importance`` are shed
    first. ``engine_priority`` is passed to the engine. ``expected_tokens`` is the
    initial estimate of an answer's length. Requests that have waited for
    ``aging_seconds`` are scheduled first, oldest first.
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
