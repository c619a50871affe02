"""Name the exit codes of the programs."""

from enum import IntEnum


class ExitCode(IntEnum):
    """List the exit codes of every program."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_ADOPTED = 5
    STREAMS_CUT = 6
