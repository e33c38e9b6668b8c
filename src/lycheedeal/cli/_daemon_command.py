"""Command of ``lycheedeald``: checks the settings and runs the daemon."""

import importlib
import os
from typing import ClassVar, Final

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from lycheedeal.cli._exit_codes import ExitCode
from lycheedeal.exceptions import SettingsError
from lycheedeal.settings import SETTINGS, Setting, load_settings

_HELP: Final = """\
Every flag has an environment variable: --data is LYCHEEDEAL_DATA, --host-id is
LYCHEEDEAL_HOST_ID, and so on. A flag overrides its variable. The shared key is
read from LYCHEEDEAL_FLOW_KEY or from a file, never from a flag.

Addresses are IPv4 literals with a port. SIGTERM starts a planned stop, which
finishes the work in progress and exits with 0 within the drain time.

Exit codes: 0 planned stop, 2 invalid settings; all errors are printed at once.
"""


def _option_for(setting: Setting) -> Option:
    default = f' (default {setting.default})' if setting.default else ''
    return option(
        setting.flag,
        description=f'{setting.summary}{default} [{setting.variable}]',
        flag=setting.is_switch,
    )


class DaemonCommand(Command):
    """Checks the settings and, unless only that is asked for, runs the daemon."""

    help = _HELP
    options: ClassVar[list[Option]] = [
        *map(_option_for, SETTINGS),
        option('check-settings', description='check the settings and exit'),
    ]

    def handle(self) -> int:
        """Run the command and return the exit code."""
        try:
            settings = load_settings(self._flags(), os.environ)
        except SettingsError as error:
            for fault in error.faults:
                self.line_error(f'lycheedeald: {fault}')
            return ExitCode.USAGE
        if self.option('check-settings'):
            self.line('ok')
            return ExitCode.DONE
        # Imported here so that checks and help do not load the event loop.
        runtime = importlib.import_module('lycheedeal.runtime')
        status: int = runtime.run(settings)
        return status

    def _flags(self) -> dict[str, str]:
        given = {one.flag: self.option(one.flag) for one in SETTINGS}
        return {
            flag: 'true' if text is True else text
            for flag, text in given.items()
            if text not in {None, False}
        }
