"""Describe a declared alias."""

from typing import Literal

from gooseberrydeal._internal.models.declared import Declared, Name


class Alias(Declared):
    """Declare another name for an adapter and, if given, a version."""

    kind: Literal["alias"] = "alias"
    name: Name
    adapter: Name
    version: Name | None = None
