"""Data classes written out at build time, compared with the decorator's."""

import ast
import importlib.util
import inspect
import sys
from dataclasses import FrozenInstanceError
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest

ROOT = Path(__file__).parents[2]

SOURCE = b'''"""Module."""
from dataclasses import dataclass, field

LIMIT = 3

@dataclass(slots=True, eq=False, repr=False)
class Plain:
    """Compared by identity."""
    first: int
    second: int = LIMIT
    names: list = field(default_factory=lambda: ['x'])
    counts: dict = field(default_factory=dict)

    @property
    def total(self):
        return self.first + self.second

@dataclass(slots=True)
class Compared:
    left: int
    right: str = 'r'

@dataclass(frozen=True, slots=True)
class Frozen:
    key: int
    text: str = ''

    def __post_init__(self):
        if self.key < 0:
            raise ValueError('key is negative')

@dataclass(slots=True, eq=False, repr=False)
class Empty:
    """Has no fields."""
'''

HEAD = 'from dataclasses import dataclass, field\n@dataclass(slots=True)\n'


def load_expander() -> ModuleType:
    path = ROOT / 'deploy' / 'expand_data_classes.py'
    spec = importlib.util.spec_from_file_location('expand_data_classes', path)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


def execute(code: Any) -> dict[str, Any]:
    module = ModuleType('sample')
    sys.modules['sample'] = module
    exec(code, module.__dict__)
    return module.__dict__


@pytest.fixture(params=['decorator', 'expanded'])
def names(request: pytest.FixtureRequest) -> dict[str, Any]:
    """Return the sample module, with the decorator and with written-out classes."""
    if request.param == 'decorator':
        return execute(compile(SOURCE, 'sample.py', 'exec'))
    tree = load_expander().expand(SOURCE, 'sample.py')
    assert 'dataclass' not in ast.unparse(tree)
    return execute(compile(tree, 'sample.py', 'exec', optimize=2))


def test_fields_and_defaults(names: dict[str, Any]) -> None:
    """Guards against instances that share a mutable default, or lose a field."""
    plain = names['Plain']
    one, other = plain(1), plain(first=1, second=5, names=[])
    assert (one.first, one.second, one.names, one.counts) == (1, 3, ['x'], {})
    assert (other.second, other.names, other.total) == (5, [], 6)
    assert one.names is not plain(1).names and one != plain(1)
    assert plain.__slots__ == ('first', 'second', 'names', 'counts')
    assert plain.__match_args__ == plain.__slots__
    assert list(inspect.signature(plain).parameters) == list(plain.__slots__)
    with pytest.raises(TypeError):
        plain()
    with pytest.raises(AttributeError):
        one.unknown = 1
    names['Empty']()


def test_comparison_and_text(names: dict[str, Any]) -> None:
    """Guards against equality, hashes and texts that differ in the program."""
    compared, frozen = names['Compared'], names['Frozen']
    assert compared(1) == compared(1, 'r') != compared(2)
    assert compared(1) != frozen(1)
    assert repr(compared(1)) == "Compared(left=1, right='r')"
    with pytest.raises(TypeError):
        hash(compared(1))
    assert {frozen(1, 'a'), frozen(1, 'a')} == {frozen(1, 'a')}
    with pytest.raises(AttributeError):
        frozen(1).key = 2
    with pytest.raises(AttributeError):
        del frozen(1).key
    with pytest.raises(ValueError):
        frozen(-1)
    assert issubclass(FrozenInstanceError, AttributeError)


@pytest.mark.parametrize(
    'source',
    [
        f'{HEAD}class Derived(Base):\n    two: int',
        f'{HEAD}class Partial:\n    two: int = field(default=2, repr=False)',
        f'{HEAD}class Shared:\n    limit: ClassVar[int] = 3',
        'from dataclasses import dataclass\n@dataclass\nclass Unslotted:\n    a: int',
        'from dataclasses import replace',
        'import dataclasses',
    ],
)
def test_unusual_data_classes_are_refused(source: str) -> None:
    """Guards against a class that is written out with other methods than it has."""
    expander = load_expander()
    with pytest.raises(expander.NotExpandableError, match='line'):
        expander.expand(source.encode(), 'unusual.py')
