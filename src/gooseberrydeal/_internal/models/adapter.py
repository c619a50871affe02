"""Define the configuration entry of an adapter."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.adapter_version import AdapterVersion
from gooseberrydeal._internal.models.declared import Declared, Name


class Adapter(Declared):
    """Declare an adapter and its versions, ordered from oldest to newest.

    ``default_version`` serves requests that name no version.
    """

    kind: Literal["adapter"] = "adapter"
    name: Name
    service: Name
    base_model: Name
    versions: tuple[AdapterVersion, ...] = Field(min_length=1)
    default_version: Name
