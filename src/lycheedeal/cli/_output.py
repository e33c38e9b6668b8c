"""Formats answers as text or JSON."""

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from datetime import UTC, datetime
from enum import Enum, unique
from typing import Any, Final

from cleo.io.io import IO
from cleo.io.outputs.output import Type

# Separates columns and indents nested lines.
_SPACING: Final = '  '
# Fields of answers that hold Unix time in seconds.
_TIME_FIELDS: Final = frozenset(('at', 'since'))
# Floats of this size and more are shown as whole numbers instead of exponents.
_MIN_WHOLE: Final = 1_000_000


@unique
class OutputForm(Enum):
    """Values of the option ``--output``."""

    TEXT = 'text'
    JSON = 'json'


def write_lines(io: IO, lines: Iterable[str]) -> None:
    """Write lines unchanged; markup of cleo in them is not interpreted."""
    for line in lines:
        io.write_line(line, type=Type.RAW)


def json_lines(document: Any) -> Iterator[str]:
    """Yield a document as indented JSON with sorted keys."""
    yield json.dumps(document, indent=2, sort_keys=True)


def table_lines(rows: Sequence[Mapping[str, Any]]) -> Iterator[str]:
    """Yield a table with a column for each key, in order of first appearance."""
    if not rows:
        yield 'no rows'
        return
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[_format_field(one, row.get(one)) for one in columns] for row in rows]
    lines = [[column.upper() for column in columns], *cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        yield _SPACING.join(padded).rstrip()


def object_lines(document: Mapping[str, Any]) -> Iterator[str]:
    """Yield one line for each field; lists of rows become tables."""
    for key, content in document.items():
        if _is_table(content):
            yield f'{key}:'
            yield from (_SPACING + line for line in table_lines(content))
        elif isinstance(content, dict) and content:
            yield f'{key}:'
            yield from (_SPACING + line for line in object_lines(content))
        else:
            yield f'{key}: {_format_field(key, content)}'


def format_time(seconds: float) -> str:
    """Return a Unix time in seconds as ISO 8601 in UTC."""
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec='milliseconds')


def format_cell(content: Any) -> str:
    """Return a value as text, with ``?`` for characters that are not printable."""
    match content:
        case None:
            text = '-'
        case bool():
            text = 'yes' if content else 'no'
        case float():
            text = f'{content:.6g}' if abs(content) < _MIN_WHOLE else f'{content:.0f}'
        case list():
            text = ', '.join(map(format_cell, content)) or '-'
        case dict():
            pairs = (f'{key}={format_cell(one)}' for key, one in content.items())
            text = ' '.join(pairs) or '-'
        case _:
            text = str(content)
    # Answers quote texts of callers, which must not control the terminal.
    return ''.join(character if character.isprintable() else '?' for character in text)


def _format_field(name: str, content: Any) -> str:
    if name in _TIME_FIELDS and isinstance(content, int | float):
        return format_time(content)
    return format_cell(content)


def _is_table(content: Any) -> bool:
    return (
        isinstance(content, list)
        and bool(content)
        and all(isinstance(row, dict) for row in content)
    )
