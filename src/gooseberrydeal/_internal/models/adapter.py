"""Describe a declared adapter."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.adapter_version import AdapterVersion
from gooseberrydeal._internal.models.declared import Declared, Name


class Adapter(Declared):
    """Declare an adapter with its versions, the newest last."""

    kind: Literal["adapter"] = "adapter"
    name: Name
    service: Name
    base_model: Name
    versions: tuple[AdapterVersion, ...] = Field(min_length=1)
    default_version: Name
