"""Writes out the methods of data classes, so that a start need not generate them.

The decorator ``dataclass`` compiles the methods of a class when its module is
imported. For ``lychee-relay`` this takes a sixth of a start. The transformer gives
the classes of a module the same methods in its syntax tree.
"""

import ast
from dataclasses import dataclass
from typing import Final

_DECORATOR: Final = 'dataclass'
_FIELD: Final = 'field'
_MODULE: Final = 'dataclasses'
# Default of a parameter whose value comes from a factory.
_UNSET: Final = '_unset_field'


@dataclass(frozen=True, slots=True)
class _Options:
    """Arguments of the decorator, with its defaults."""

    slots: bool = False
    eq: bool = True
    repr: bool = True
    frozen: bool = False


@dataclass(frozen=True, slots=True)
class _Field:
    """A field; ``default`` and ``factory`` are expressions, or None."""

    name: str
    default: ast.expr | None = None
    factory: ast.expr | None = None


class NotExpandableError(Exception):
    """A module uses a feature of data classes that is not written out."""

    def __init__(self, node: ast.stmt, reason: str) -> None:
        """Say the line and the reason."""
        super().__init__(f'line {node.lineno}: {reason}')


def expand(source: bytes, path: str) -> ast.Module:
    """Return the syntax tree of a module with its data classes written out.

    Raises NotExpandableError. Then no module of the package may be expanded: a
    data class cannot inherit the fields of a class that is written out.
    """
    expander = _Expander()
    tree: ast.Module = expander.visit(ast.parse(source, path))
    if expander.needs_sentinel:
        start = _first_statement(tree)
        sentinel = ast.parse(f'{_UNSET} = object()').body
        tree.body = [*tree.body[:start], *sentinel, *tree.body[start:]]
    return ast.fix_missing_locations(tree)


class _Expander(ast.NodeTransformer):
    """Replaces the decorator of each data class by the methods that it makes.

    Also removes the annotations of functions: they are for the type checker, but
    would be evaluated at the import.
    """

    def __init__(self) -> None:
        self.needs_sentinel = False

    def visit_ImportFrom(self, node: ast.ImportFrom) -> ast.ImportFrom | None:
        """Remove the import of the decorator."""
        if node.module != _MODULE:
            return node
        if {alias.name for alias in node.names} <= {_DECORATOR, _FIELD}:
            return None
        raise NotExpandableError(node, 'more than the decorator and field is used')

    def visit_Import(self, node: ast.Import) -> ast.Import:
        """Refuse uses of the module by its name."""
        if any(alias.name == _MODULE for alias in node.names):
            raise NotExpandableError(node, 'module is imported as a whole')
        return node

    def visit_FunctionDef(self, node: ast.FunctionDef) -> ast.FunctionDef:
        """Remove the annotations of a function."""
        _remove_annotations(node)
        self.generic_visit(node)
        return node

    def visit_AsyncFunctionDef(self, node: ast.AsyncFunctionDef) -> ast.AST:
        """Remove the annotations of a coroutine function."""
        _remove_annotations(node)
        self.generic_visit(node)
        return node

    def visit_ClassDef(self, node: ast.ClassDef) -> ast.ClassDef:
        """Write out a data class."""
        self.generic_visit(node)
        if not any(_is_data_class(one) for one in node.decorator_list):
            return node
        options = _options_of(node)
        fields = [_field_of(one) for one in node.body if isinstance(one, ast.AnnAssign)]
        others = [one for one in node.body if not isinstance(one, ast.AnnAssign)]
        defined = {one.name for one in others if isinstance(one, ast.FunctionDef)}
        text = '\n'.join(
            line
            for lines in (
                _slots(fields),
                _initializer(fields, options, '__post_init__' in defined),
                _comparison(fields, options),
                _representation(fields, options),
                _protection(options),
            )
            for line in lines
        )
        methods = ast.parse(text).body
        self.needs_sentinel |= any(one.factory for one in fields)
        start = _first_statement(node)
        node.body = [*others[:start], *methods, *others[start:]]
        node.decorator_list = []
        return node


def _remove_annotations(node: ast.FunctionDef | ast.AsyncFunctionDef) -> None:
    node.returns = None
    given = node.args
    optional = (given.vararg, given.kwarg)
    for one in (*given.posonlyargs, *given.args, *given.kwonlyargs, *optional):
        if one is not None:
            one.annotation = None


def _is_data_class(decorator: ast.expr) -> bool:
    name = decorator.func if isinstance(decorator, ast.Call) else decorator
    return isinstance(name, ast.Name) and name.id == _DECORATOR


def _options_of(node: ast.ClassDef) -> _Options:
    """Return the options of a data class."""
    if len(node.decorator_list) > 1 or node.bases or node.keywords:
        raise NotExpandableError(node, 'data class has bases or other decorators')
    decorator = node.decorator_list[0]
    given = decorator.keywords if isinstance(decorator, ast.Call) else []
    values: dict[str, bool] = {}
    for keyword in given:
        if keyword.arg not in _Options.__dataclass_fields__:
            raise NotExpandableError(node, f'option {keyword.arg}')
        values[keyword.arg] = ast.literal_eval(keyword.value)
    options = _Options(**values)
    # Without slots the class keeps its defaults as attributes.
    if options.slots:
        return options
    raise NotExpandableError(node, 'data class without slots')


def _field_of(node: ast.AnnAssign) -> _Field:
    if not isinstance(node.target, ast.Name) or 'ClassVar' in ast.dump(node.annotation):
        raise NotExpandableError(node, 'class variable')
    name = node.target.id
    default = node.value
    if not (isinstance(default, ast.Call) and _is_field(default)):
        return _Field(name, default)
    match default.keywords:
        case [ast.keyword(arg='default_factory', value=factory)]:
            return _Field(name, factory=factory)
        case _:
            raise NotExpandableError(node, 'field with more than a factory')


def _is_field(call: ast.Call) -> bool:
    return isinstance(call.func, ast.Name) and call.func.id == _FIELD


def _slots(fields: list[_Field]) -> list[str]:
    names = ''.join(f'{one.name!r}, ' for one in fields)
    return [f'__slots__ = ({names})', f'__match_args__ = ({names})']


def _initializer(fields: list[_Field], options: _Options, post_init: bool) -> list[str]:
    parameters = ', '.join(('self', *map(_parameter, fields)))
    lines = [f'def __init__({parameters}):']
    for one in fields:
        text = one.name
        if one.factory:
            made = f'({ast.unparse(one.factory)})()'
            text = f'{made} if {one.name} is {_UNSET} else {one.name}'
        if options.frozen:
            lines.append(f'    object.__setattr__(self, {one.name!r}, {text})')
        else:
            lines.append(f'    self.{one.name} = {text}')
    if post_init:
        lines.append('    self.__post_init__()')
    return lines if len(lines) > 1 else [*lines, '    pass']


def _parameter(one: _Field) -> str:
    if one.factory:
        return f'{one.name}={_UNSET}'
    if one.default:
        return f'{one.name}={ast.unparse(one.default)}'
    return one.name


def _comparison(fields: list[_Field], options: _Options) -> list[str]:
    if not options.eq:
        return []
    own, other = (
        ''.join(f'{name}.{one.name}, ' for one in fields) for name in ('self', 'other')
    )
    lines = [
        'def __eq__(self, other):',
        '    if other.__class__ is not self.__class__:',
        '        return NotImplemented',
        f'    return ({own}) == ({other})',
    ]
    if options.frozen:
        lines += ['def __hash__(self):', f'    return hash(({own}))']
    return lines


def _representation(fields: list[_Field], options: _Options) -> list[str]:
    if not options.repr:
        return []
    parts = ', '.join(f'{one.name}={{self.{one.name}!r}}' for one in fields)
    return [
        'def __repr__(self):',
        f"    return f'{{self.__class__.__qualname__}}({parts})'",
    ]


def _protection(options: _Options) -> list[str]:
    if not options.frozen:
        return []
    return [
        'def __setattr__(self, name, value):',
        "    raise AttributeError(f'cannot assign to field {name!r}')",
        'def __delattr__(self, name):',
        "    raise AttributeError(f'cannot delete field {name!r}')",
    ]


def _first_statement(node: ast.Module | ast.ClassDef) -> int:
    """Return the index of the first statement after the docstring."""
    return int(ast.get_docstring(node, clean=False) is not None)
