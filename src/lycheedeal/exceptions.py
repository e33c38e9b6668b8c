"""Exceptions raised by lycheedeal; each of them has an error kind."""

from lycheedeal.errors import ErrorKind


class LycheedealError(Exception):
    """Base class of all errors of this package."""

    kind = ErrorKind.MALFORMED

    def __init__(self, detail: str) -> None:
        """Create an error; ``detail`` is the text shown to users."""
        super().__init__(detail)
        self.detail = detail


class DecodeError(LycheedealError):
    """A datagram or message could not be decoded."""

    def __init__(self, detail: str, kind: ErrorKind = ErrorKind.MALFORMED) -> None:
        """Create an error of the kind that the decoder found."""
        super().__init__(detail)
        self.kind = kind


class InvalidConfigurationError(LycheedealError):
    """A configuration is invalid; ``location`` names the faulty field or record."""

    kind = ErrorKind.INVALID_CONFIGURATION

    def __init__(self, location: str, detail: str) -> None:
        """Create an error for a location, such as the path of a field."""
        super().__init__(f'{location}: {detail}')
        self.location = location


class StatementError(LycheedealError):
    """An operator statement could not be parsed."""

    kind = ErrorKind.BAD_STATEMENT

    def __init__(self, detail: str, line: int, column: int) -> None:
        """Create an error; ``line`` and ``column`` count from 1."""
        super().__init__(f'line {line}, column {column}: {detail}')
        self.line = line
        self.column = column


class SettingsError(LycheedealError):
    """One or more settings are missing or invalid.

    ``faults`` has one text for each of them, which begins with its name.
    """

    kind = ErrorKind.INVALID_SETTINGS

    def __init__(self, faults: tuple[str, ...]) -> None:
        """Create an error from one text for each faulty setting."""
        super().__init__('; '.join(faults))
        self.faults = faults


class PluginError(LycheedealError):
    """A plug-in cannot be found, or its name is registered twice."""

    kind = ErrorKind.INVALID_SETTINGS


class ServiceNotFoundError(LycheedealError):
    """An operator statement names a service that does not exist."""

    kind = ErrorKind.NOT_FOUND


class UsageError(LycheedealError):
    """An option or argument of a command is missing or invalid."""

    kind = ErrorKind.INVALID_SETTINGS
