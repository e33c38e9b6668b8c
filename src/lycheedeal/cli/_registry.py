"""Registry of commands; the module of a command is imported when it runs."""

import importlib
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from cleo.commands.command import Command


@dataclass(frozen=True, slots=True)
class CommandSpec:
    """Module and class of a command, with the name and summary of its program."""

    name: str
    module: str
    class_name: str
    summary: str

    def load(self) -> Command:
        """Import the module of the command and create the command."""
        module = importlib.import_module(self.module)
        command: Command = getattr(module, self.class_name)()
        command.name = self.name
        command.description = self.summary
        return command


_SPECS: Final = (
    CommandSpec(
        'lycheedeald',
        'lycheedeal.cli._daemon_command',
        'DaemonCommand',
        'Runs the load balancer on an entry host.',
    ),
    CommandSpec(
        'lycheectl',
        'lycheedeal.cli._ctl_command',
        'CtlCommand',
        'Sends a query or a change to entry hosts.',
    ),
    CommandSpec(
        'lychee-burn',
        'lycheedeal.cli._burn_command',
        'BurnCommand',
        'Reports how fast services use up their error budgets.',
    ),
)
COMMANDS: Final[Mapping[str, CommandSpec]] = MappingProxyType(
    {spec.name: spec for spec in _SPECS},
)
