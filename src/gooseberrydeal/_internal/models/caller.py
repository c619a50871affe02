"""Describe a declared caller."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class Caller(Declared):
    """Declare who may call what.

    ``key_hashes`` are SHA-256 digests in hexadecimal; two of them overlap while a key
    is rotated. ``adapters`` holds adapter names, or prefixes that end in ``*``.
    ``requests_per_second`` limits the caller on each entry host.
    """

    kind: Literal["caller"] = "caller"
    name: Name
    key_hashes: tuple[str, ...] = Field(min_length=1, max_length=4)
    services: tuple[Name, ...]
    adapters: tuple[str, ...] = ()
    requests_per_second: float = Field(default=500.0, gt=0)
