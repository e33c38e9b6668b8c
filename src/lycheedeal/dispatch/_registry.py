"""Registry of plug-ins; each plug-in registers itself when it is imported."""

import importlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final

from lycheedeal.exceptions import PluginError


@dataclass(slots=True, eq=False, repr=False)
class PluginSpec:
    """Name, factory and handled event types of a plug-in."""

    name: str
    factory: Callable[[Any], Any]
    events: frozenset[type]


_specs_by_name: Final[dict[str, PluginSpec]] = {}


def register(spec: PluginSpec) -> None:
    """Add a plug-in; raises PluginError if its name is already registered."""
    if spec.name in _specs_by_name:
        raise PluginError(f'a plug-in named {spec.name} is already registered')
    _specs_by_name[spec.name] = spec


def registered() -> tuple[str, ...]:
    """Return the names of all registered plug-ins, in order of registration."""
    return tuple(_specs_by_name)


def load_plugins(names: Iterable[str]) -> tuple[PluginSpec, ...]:
    """Import plug-ins by name and return their specs in the given order.

    A name without a dot is a subpackage of ``lycheedeal``. Any other name is a full
    module name, and the plug-in is registered under its last component. Raises
    PluginError if a module cannot be imported or registers no plug-in.
    """
    return tuple(_load_one(name) for name in names)


def _load_one(name: str) -> PluginSpec:
    module = name if '.' in name else f'lycheedeal.{name}'
    try:
        importlib.import_module(module)
    except ModuleNotFoundError as error:
        raise PluginError(f'plug-in {name} cannot be imported') from error
    spec = _specs_by_name.get(name.rpartition('.')[2])
    if spec is None:
        raise PluginError(f'module {module} registers no plug-in')
    return spec
