"""Exceptions raised by lycheedeal; every one carries an error kind."""

from lycheedeal.errors import ErrorKind


class LycheedealError(Exception):
    """Base class of all errors of this package."""

    kind = ErrorKind.MALFORMED

    def __init__(self, detail: str) -> None:
        """Store a human-readable detail."""
        super().__init__(detail)
        self.detail = detail


class DecodeError(LycheedealError):
    """A datagram or message could not be decoded."""

    def __init__(self, detail: str, kind: ErrorKind = ErrorKind.MALFORMED) -> None:
        """Store the detail and the error kind that the decoder found."""
        super().__init__(detail)
        self.kind = kind


class InvalidConfigurationError(LycheedealError):
    """A configuration is not acceptable; ``location`` names the faulty field."""

    kind = ErrorKind.INVALID_CONFIGURATION

    def __init__(self, location: str, detail: str) -> None:
        """Store the path of the faulty field and the reason."""
        super().__init__(f'{location}: {detail}')
        self.location = location


class StatementError(LycheedealError):
    """An operator statement could not be parsed."""

    kind = ErrorKind.BAD_STATEMENT

    def __init__(self, detail: str, line: int, column: int) -> None:
        """Store the reason and the 1-based position of the fault."""
        super().__init__(f'line {line}, column {column}: {detail}')
        self.line = line
        self.column = column


class SettingsError(LycheedealError):
    """One or more settings are invalid; ``faults`` lists all of them."""

    kind = ErrorKind.INVALID_SETTINGS

    def __init__(self, faults: tuple[str, ...]) -> None:
        """Store one text for each faulty setting."""
        super().__init__('; '.join(faults))
        self.faults = faults


class PluginError(LycheedealError):
    """A plug-in is unknown or registered twice."""

    kind = ErrorKind.INVALID_SETTINGS


class ServiceNotFoundError(LycheedealError):
    """A statement names a service that does not exist."""

    kind = ErrorKind.NOT_FOUND


class UsageError(LycheedealError):
    """An option of a command is invalid."""

    kind = ErrorKind.INVALID_SETTINGS
