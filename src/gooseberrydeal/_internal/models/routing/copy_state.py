"""Define the states of an adapter copy on an engine."""

from enum import Enum


class CopyState(Enum):
    """List the states of an adapter copy.

    An ``UNLOADING`` copy is removed once its running requests have finished.
    """

    READY = "ready"
    LOADING = "loading"
    UNLOADING = "leaving"
