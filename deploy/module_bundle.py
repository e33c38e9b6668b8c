"""Imports modules from one bundle file instead of one file for each module.

A host is out of service while its modules load, which takes most of a second
on a small host. Much of that time goes into finding and reading some 120
files and into the docstrings of the standard library, which a bundle leaves out.
"""

import marshal
import sys
from importlib._bootstrap import ModuleSpec
from importlib._bootstrap_external import MAGIC_NUMBER
from types import CodeType, ModuleType

# Marshalled code of a module, path of its source file, and whether it is a package.
Entry = tuple[bytes, str, bool]


class BundleFinder:
    """Import finder and loader for the modules of a bundle."""

    def __init__(self, entries_by_name: dict[str, Entry]) -> None:
        """Serve the modules of a bundle, given by their full names."""
        self._entries_by_name = entries_by_name

    def find_spec(
        self,
        name: str,
        path: object = None,
        target: object = None,
    ) -> ModuleSpec | None:
        """Return the spec of a module, or None if it is not in the bundle."""
        entry = self._entries_by_name.get(name)
        if entry is None:
            return None
        _, origin, is_package = entry
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [origin.rpartition('/')[0]]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Return None, which makes the import system create the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Execute the code of a module in its namespace."""
        code = self.get_code(module.__name__)
        exec(code, module.__dict__)  # noqa: WPS421 a loader has to execute code

    def get_code(self, name: str) -> CodeType:
        """Return the code object of a module in the bundle."""
        code: CodeType = marshal.loads(self._entries_by_name[name][0])
        return code


def install(path: str) -> bool:
    """Put a bundle first on the import path; return False if it is unusable.

    A bundle is unusable if it is missing, truncated or written by another
    version of the interpreter. Modules are then loaded from their own files.
    """
    try:
        with open(path, 'rb') as bundle:
            if bundle.read(len(MAGIC_NUMBER)) != MAGIC_NUMBER:
                return False
            entries_by_name = marshal.load(bundle)
    except (OSError, EOFError, ValueError):
        return False
    sys.meta_path.insert(0, BundleFinder(entries_by_name))
    return True
