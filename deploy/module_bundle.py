"""Loads modules from one file instead of a file each.

A host is out of service while its modules load, which takes most of a second
on a small one. Finding and reading some 120 files is a good part of it, and so
are the docstrings of the standard library.
"""

import marshal
import sys
from importlib._bootstrap import ModuleSpec
from importlib._bootstrap_external import MAGIC_NUMBER
from types import CodeType, ModuleType

# Code of a module as marshal writes it, its file, and whether it is a package.
Entry = tuple[bytes, str, bool]


class BundleFinder:
    """Finder and loader of the modules in a bundle."""

    def __init__(self, entries_by_name: dict[str, Entry]) -> None:
        """Serve the modules of a bundle that was read."""
        self._entries_by_name = entries_by_name

    def find_spec(
        self,
        name: str,
        path: object = None,
        target: object = None,
    ) -> ModuleSpec | None:
        """Return the spec of a module, or None if the bundle lacks it."""
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
        """Leave the creation to the import system."""

    def exec_module(self, module: ModuleType) -> None:
        """Run the code of a module."""
        code = self.get_code(module.__name__)
        exec(code, module.__dict__)  # noqa: WPS421 what a loader is for

    def get_code(self, name: str) -> CodeType:
        """Return the code of a module."""
        code: CodeType = marshal.loads(self._entries_by_name[name][0])
        return code


def install(path: str) -> bool:
    """Import from a bundle from now on; False if it cannot be used."""
    try:
        with open(path, 'rb') as bundle:
            if bundle.read(len(MAGIC_NUMBER)) != MAGIC_NUMBER:
                return False
            entries_by_name = marshal.load(bundle)
    except (OSError, EOFError, ValueError):
        return False
    sys.meta_path.insert(0, BundleFinder(entries_by_name))
    return True
