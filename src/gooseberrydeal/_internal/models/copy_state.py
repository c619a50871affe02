"""Define the states of an adapter copy on an engine."""

from enum import Enum


class CopyState(Enum):
    """List the states of an adapter copy that an engine holds.

    A ``FOREIGN`` copy was loaded by an earlier owner, which may still use it.
    """

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"
    FOREIGN = "foreign"
