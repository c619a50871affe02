"""Define the configuration entry of the platform's limits."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared


class PlatformLimits(Declared):
    """Declare the load limits of the weight store and the engines.

    Rates and counts apply to the whole region. ``loads_at_full_speed`` is how many
    concurrent loads the weight store serves without slowing down, ``load_seconds``
    the usual time of a load. ``claim_window_seconds`` is the maximum age of an
    idempotency key.
    """

    kind: Literal["limits"] = "limits"
    name: Literal["platform"] = "platform"
    loads_per_second: int = Field(ge=1)
    loads_at_full_speed: int = Field(ge=1)
    loads_in_flight: int = Field(default=24, ge=1)
    load_seconds: float = Field(default=0.25, gt=0)
    claim_window_seconds: int = Field(default=86400, ge=60)
