"""Define what is known about the execution of a request."""

from enum import Enum


class Ran(Enum):
    """State whether a backend server executed a request.

    ``NO`` is used only if no byte of the request can have reached a backend server.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
