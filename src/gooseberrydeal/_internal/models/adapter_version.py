"""Describe one version of an adapter."""

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class AdapterVersion(Declared):
    """Declare where the weight store holds one version."""

    name: Name
    path: str = Field(min_length=1, max_length=1024)
