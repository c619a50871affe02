"""Tell whether a request was run."""

from enum import Enum


class Ran(Enum):
    """List what can be known of a request's execution.

    ``NO`` is used only where no byte can have reached a backend server.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"
