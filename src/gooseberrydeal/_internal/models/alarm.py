"""Define the alarms that a host can raise."""

from enum import Enum


class Alarm(Enum):
    """List the conditions that need an operator's attention.

    ``PLATFORM_OLDER`` means that the store holds an older configuration than the one
    in use, or none; ``CONFIGURATION_FORKED`` that it, or a peer, has a different one
    with the same revision number. ``ISOLATED`` is an entry host without a connection
    to any keeper. ``FOREIGN_COPIES`` are adapter copies that an earlier owner loaded
    and may still use.
    """

    PLATFORM_UNREACHABLE = "platform_unreachable"
    PLATFORM_OLDER = "platform_older"
    CONFIGURATION_FORKED = "configuration_forked"
    ENTRIES_SKIPPED = "entries_skipped"
    ISOLATED = "isolated"
    FOREIGN_COPIES = "foreign_copies"
