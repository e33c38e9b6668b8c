"""Runs one command of the registry as a program of its own."""

import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError, CleoRuntimeError
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.outputs.output import Output
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from lycheedeal import __version__
from lycheedeal.cli._exit_codes import ExitCode
from lycheedeal.cli._registry import COMMANDS, CommandSpec


class _Program(Application):
    """Application with a single command, which gets all arguments."""

    def __init__(self, spec: CommandSpec) -> None:
        super().__init__(spec.name, __version__)
        self._single_command = True
        self._default_command = spec.name
        self.set_display_name(spec.name)
        self.auto_exits(False)
        self.catch_exceptions(False)
        self.set_command_loader(FactoryCommandLoader({spec.name: spec.load}))


class _Arguments(ArgvInput):
    """Command line without the name of a command as its first word."""

    def _parse_argument(self, token: str) -> None:
        # Cleo 2.1 raises IndexError for a word if the command has no arguments.
        if not self._definition.arguments:
            raise CleoRuntimeError(f'unexpected argument "{token}"')
        super()._parse_argument(token)


def run_program(
    name: str,
    arguments: Sequence[str] | None = None,
    output: Output | None = None,
    error_output: Output | None = None,
) -> int:
    """Run a program and return its exit code.

    ``arguments`` and the outputs are those of the process if None.
    """
    program = _Program(COMMANDS[name])
    tokens = sys.argv[1:] if arguments is None else arguments
    try:
        return program.run(_Arguments([name, *tokens]), output, error_output)
    except CleoError as error:
        io = program.create_io(None, output, error_output)
        io.write_error_line(f'{name}: {error}; see {name} --help')
        return ExitCode.USAGE
