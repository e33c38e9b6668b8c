"""Options shared by the programs that call admin servers."""

import os
from typing import Final

from cleo.helpers import option
from cleo.io.inputs.option import Option

from lycheedeal.cli._output import OutputForm
from lycheedeal.exceptions import UsageError
from lycheedeal.model import Endpoint
from lycheedeal.settings import parse_endpoints

HOSTS_VARIABLE: Final = 'LYCHEEDEAL_HOSTS'
_MAX_TIMEOUT_SECONDS: Final = 300


def parse_hosts(text: str | None) -> tuple[Endpoint, ...]:
    """Return the admin addresses of the option, or else of the environment.

    Raises UsageError if there are none or one of them is invalid.
    """
    source = '--host' if text else HOSTS_VARIABLE
    try:
        hosts = parse_endpoints(text or os.environ.get(HOSTS_VARIABLE, ''))
    except ValueError as error:
        raise UsageError(f'{source}: {error}') from error
    if not hosts:
        raise UsageError(f'--host or {HOSTS_VARIABLE} is required')
    return hosts


def parse_timeout(text: str) -> float:
    """Return the timeout in seconds.

    Raises UsageError if it is not a number over 0 and up to 300.
    """
    try:
        seconds = float(text)
    except ValueError as error:
        raise UsageError(f'--timeout: {text!r} is not a number') from error
    if 0 < seconds <= _MAX_TIMEOUT_SECONDS:
        return seconds
    raise UsageError(f'--timeout: {text} is not between 0 and {_MAX_TIMEOUT_SECONDS}')


def parse_form(text: str) -> OutputForm:
    """Return the form of the output; raises UsageError if it is unknown."""
    try:
        return OutputForm(text)
    except ValueError as error:
        raise UsageError(f'--output: {text!r} is neither text nor json') from error


def host_options(timeout: str) -> list[Option]:
    """Return the shared options; ``timeout`` is the default in seconds."""
    return [
        option(
            'host',
            description=f'admin addresses, IP:PORT,... [{HOSTS_VARIABLE}]',
            flag=False,
        ),
        option('output', description='text or json', flag=False, default='text'),
        option(
            'timeout',
            description='seconds to wait for an answer',
            flag=False,
            default=timeout,
        ),
    ]
