"""Define the configuration entry of an adapter alias."""

from typing import Literal

from gooseberrydeal._internal.models.declared import Declared, Name


class Alias(Declared):
    """Declare an alternative name for an adapter, optionally pinned to a version."""

    kind: Literal["alias"] = "alias"
    name: Name
    adapter: Name
    version: Name | None = None
