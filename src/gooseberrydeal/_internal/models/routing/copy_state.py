"""Define the states of an adapter copy on an engine."""

from enum import Enum


class CopyState(Enum):
    """List the states of an adapter copy; a ``LEAVING`` copy is being unloaded."""

    READY = "ready"
    LOADING = "loading"
    UNLOADING = "leaving"
