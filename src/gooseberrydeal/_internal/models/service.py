"""Define the configuration entry of a service."""

from typing import Literal

from gooseberrydeal._internal.models.declared import Declared, Name
from gooseberrydeal._internal.models.operation import Operation


class Service(Declared):
    """Declare a group of interchangeable backend servers.

    The servers of a ``model`` service are engines; a ``plain`` service has operations.
    ``default_class`` is the work class of requests that name none.
    """

    kind: Literal["service"] = "service"
    name: Name
    type: Literal["model", "plain"]
    operations: tuple[Operation, ...] = ()
    default_class: Name
