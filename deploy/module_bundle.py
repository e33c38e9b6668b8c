"""Imports modules from one bundle file instead of one file for each module.

A host is out of service while its modules load, which takes most of a second
on a small host. Much of that time goes into finding and reading some 120
files and into the docstrings of the standard library, which a bundle leaves out.
"""

import importlib
import marshal
import sys
from importlib._bootstrap import ModuleSpec
from importlib._bootstrap_external import (
    MAGIC_NUMBER,
    ExtensionFileLoader,
    SourceFileLoader,
)
from types import CodeType, FrameType, MappingProxyType, ModuleType

# Marshalled code of a module, path of its file, whether it is a package, and the
# constants of a lazy module that do not count as a use; for all others they are None.
# The code is None for a lazy module and for an extension, which have their own files.
Entry = tuple[bytes | None, str, bool, dict[str, object] | None]


class LazyLogger:
    """Stands for a logger until it is used."""

    def __init__(self, name: str) -> None:
        """Stand for the logger of this name."""
        self._name = name

    def __getattr__(self, attribute: str) -> object:
        """Return an attribute of the logger."""
        manager = importlib.import_module('logging').Logger.manager
        return getattr(manager.getLogger(self._name), attribute)

    def debug(self, *details: object, **options: object) -> None:
        """Write nothing: the program leaves the level of all loggers as it is."""


def _extract_stack(frame: FrameType | None = None, limit: int | None = None) -> object:
    """Load the module ``traceback`` and call its function of this name."""
    traceback = importlib.import_module('traceback')
    walked = traceback.walk_stack(frame or sys._getframe(1))
    stack = traceback.StackSummary.extract(walked, limit=limit)
    stack.reverse()
    return stack


# What other modules take from a lazy module when they are imported.
_PROVIDED = MappingProxyType(
    {
        'logging': MappingProxyType({'getLogger': LazyLogger}),
        'traceback': MappingProxyType({'extract_stack': _extract_stack}),
    },
)
_NOTHING: MappingProxyType[str, object] = MappingProxyType({})


class LazyModule(ModuleType):
    """A module whose code is executed when an attribute is first needed."""

    def __getattr__(self, attribute: str) -> object:
        """Execute the module and return its attribute."""
        # The module is an ordinary one from now on, also while its code runs.
        self.__class__ = ModuleType
        self.__spec__.loader.execute(self)
        return getattr(self, attribute)


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
        code, origin, is_package, constants = entry
        if code is None and constants is None:
            return ModuleSpec(name, ExtensionFileLoader(name, origin), origin=origin)
        spec = ModuleSpec(name, self, origin=origin, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations = [origin.rpartition('/')[0]]
        return spec

    def create_module(self, spec: ModuleSpec) -> None:
        """Return None, which makes the import system create the module."""

    def exec_module(self, module: ModuleType) -> None:
        """Execute the code of a module, unless it is one that can wait."""
        constants = self._entries_by_name[module.__name__][3]
        if constants is None:
            self.execute(module)
            return
        module.__dict__.update(constants)
        module.__dict__.update(_PROVIDED.get(module.__name__, _NOTHING))
        module.__class__ = LazyModule

    def execute(self, module: ModuleType) -> None:
        """Execute the code of a module in its namespace."""
        code = self.get_code(module.__name__)
        exec(code, module.__dict__)  # noqa: WPS421 a loader has to execute code

    def get_code(self, name: str) -> CodeType:
        """Return the code object of a module."""
        packed, origin, _, _ = self._entries_by_name[name]
        if packed is None:
            return SourceFileLoader(name, origin).get_code(name)
        code: CodeType = marshal.loads(packed)
        return code


def install(path: str) -> bool:
    """Put a bundle first on the import path; return False if it is unusable.

    A bundle is unusable if it is missing, truncated or written by another
    version of the interpreter. Modules are then loaded from their own files.
    """
    try:
        with open(path, 'rb') as bundle:
            content = memoryview(bundle.read())
        if content[: len(MAGIC_NUMBER)] != MAGIC_NUMBER:
            return False
        entries_by_name = marshal.loads(content[len(MAGIC_NUMBER) :])
    except (OSError, EOFError, ValueError):
        return False
    sys.meta_path.insert(0, BundleFinder(entries_by_name))
    return True
