"""Define the configuration of one adapter version."""

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class AdapterVersion(Declared):
    """Declare the path of an adapter version in the weight store."""

    name: Name
    path: str = Field(min_length=1, max_length=1024)
