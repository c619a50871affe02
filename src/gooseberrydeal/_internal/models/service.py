"""Describe a declared service."""

from typing import Literal

from gooseberrydeal._internal.models.declared import Declared, Name
from gooseberrydeal._internal.models.operation import Operation


class Service(Declared):
    """Declare a group of backend servers that do the same work."""

    kind: Literal["service"] = "service"
    name: Name
    type: Literal["model", "plain"]
    operations: tuple[Operation, ...] = ()
    default_class: Name
