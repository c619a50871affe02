"""Name the alarms."""

from enum import Enum


class Alarm(Enum):
    """List what an operator should look at."""

    PLATFORM_UNREACHABLE = "platform_unreachable"
    PLATFORM_OLDER = "platform_older"
    CONFIGURATION_FORKED = "configuration_forked"
    ENTRIES_SKIPPED = "entries_skipped"
    ISOLATED = "isolated"
    FOREIGN_COPIES = "foreign_copies"
