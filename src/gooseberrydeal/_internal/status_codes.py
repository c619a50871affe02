"""Define the exit codes of the programs."""

from enum import IntEnum


class ExitCode(IntEnum):
    """List the exit codes of all programs.

    ``USAGE``: invalid arguments, settings or declarations. ``CONFLICT``: the published
    configuration has changed. ``UNREACHABLE``: the store or a peer cannot be reached.
    ``NOT_ADOPTED``: a node does not use the new revision yet. ``STREAMS_CUT``: the
    shutdown cut off running responses. ``FAILED``: any other error.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_ADOPTED = 5
    STREAMS_CUT = 6
