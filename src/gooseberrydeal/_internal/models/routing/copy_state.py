"""List the states of an adapter copy."""

from enum import Enum


class CopyState(Enum):
    """List the states of an adapter copy at an engine."""

    READY = "ready"
    LOADING = "loading"
    LEAVING = "leaving"
