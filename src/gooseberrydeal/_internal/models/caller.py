"""Define the configuration entry of a caller."""

from typing import Literal

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class Caller(Declared):
    """Declare a caller, its API keys and what it may use.

    ``key_hashes`` are the SHA-256 digests of the keys in hexadecimal; two are valid
    at the same time while a key is rotated. ``adapters`` lists the allowed adapter
    names, or prefixes of them that end in ``*``. ``requests_per_second`` is the rate
    limit on each entry host.
    """

    kind: Literal["caller"] = "caller"
    name: Name
    key_hashes: tuple[str, ...] = Field(min_length=1, max_length=4)
    services: tuple[Name, ...]
    adapters: tuple[str, ...] = ()
    requests_per_second: float = Field(default=500.0, gt=0)
