"""Describe the limits of the platform."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared


class PlatformLimits(Declared):
    """Declare what the weight store and the engines bear.

    Rates are per second over the whole region.
    """

    kind: Literal["limits"] = "limits"
    name: Literal["platform"] = "platform"
    loads_per_second: int = Field(ge=1)
    loads_at_full_speed: int = Field(ge=1)
    loads_in_flight: int = Field(default=24, ge=1)
    load_seconds: float = Field(default=0.25, gt=0)
    claim_window_seconds: int = Field(default=86400, ge=60)
