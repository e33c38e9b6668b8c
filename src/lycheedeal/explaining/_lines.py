"""Parses the JSON log lines of ``lychee-relay``."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any, Final

# Fields that every line has; all others are kept as details.
_STANDARD_FIELDS: Final = frozenset(('time', 'host', 'part', 'kind', 'text'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line; ``time`` is Unix time in seconds on the clock of its host."""

    time: float
    host: str
    kind: str
    text: str
    details: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class SkipCounter:
    """Counts lines that are truncated or not from ``lychee-relay``."""

    lines: int = 0


def read_lines(texts: Iterable[str], skipped: SkipCounter) -> Iterator[LogLine]:
    """Yield the parsed lines; ``skipped`` counts those that cannot be parsed."""
    for text in texts:
        line = _parse(text)
        if line is None:
            skipped.lines += 1
        else:
            yield line


def _parse(text: str) -> LogLine | None:
    # A log collector may prefix the object with its own time and the host.
    start = text.find('{')
    try:
        fields = json.loads(text[start:]) if start >= 0 else None
    except (ValueError, RecursionError):
        return None
    match fields:
        case {
            'time': float() | int() as time,
            'host': str() as host,
            'kind': str() as kind,
            'text': str() as message,
        }:
            return LogLine(float(time), host, kind, message, _details(fields))
        case _:
            return None


def _details(fields: Any) -> dict[str, Any]:
    return {name: fields[name] for name in fields if name not in _STANDARD_FIELDS}
