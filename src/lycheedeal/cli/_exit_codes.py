"""Exit codes of the programs; the table of error kinds uses the same."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """What a program's exit status means."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
