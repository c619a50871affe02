"""Name the states of a loaded copy."""

from enum import Enum


class CopyState(Enum):
    """List where a copy of an adapter can stand on an engine."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"
    FOREIGN = "foreign"
