"""Options that several commands share."""

import os
from typing import Final

from lycheedeal.cli._output import OutputForm
from lycheedeal.model import Endpoint
from lycheedeal.settings import parse_endpoints

ADMIN_VARIABLE: Final = 'LYCHEEDEAL_HOSTS'
_MAX_TIMEOUT: Final = 300


class UsageError(Exception):
    """An option of a command is invalid."""


def parse_hosts(text: str | None) -> tuple[Endpoint, ...]:
    """Return admin addresses from the option or from the environment."""
    source = '--host' if text else ADMIN_VARIABLE
    try:
        hosts = parse_endpoints(text or os.environ.get(ADMIN_VARIABLE, ''))
    except ValueError as error:
        raise UsageError(f'{source}: {error}') from error
    if not hosts:
        raise UsageError(f'--host or {ADMIN_VARIABLE} is required')
    return hosts


def parse_timeout(text: str) -> float:
    """Return a timeout in seconds."""
    try:
        seconds = float(text)
    except ValueError as error:
        raise UsageError(f'--timeout: {text!r} is not a number') from error
    if 0 < seconds <= _MAX_TIMEOUT:
        return seconds
    raise UsageError(f'--timeout: {text} is not between 0 and {_MAX_TIMEOUT}')


def parse_form(text: str) -> OutputForm:
    """Return the form of the output."""
    try:
        return OutputForm(text)
    except ValueError as error:
        raise UsageError(f'--output: {text!r} is neither text nor json') from error
