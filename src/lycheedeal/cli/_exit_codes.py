"""Exit codes of the programs; the table of error kinds uses the same numbers."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit code of a program.

    REFUSED also means that nothing was found, CONFLICT that another change came
    first, UNKNOWN that a change may or may not have been made, and UNREACHABLE
    that no host answered.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5
