"""Decodes the JSON of the store's answers, which hold what others wrote.

Another writer may have left values that a JSON decoder refuses. These are replaced
by null, so that an answer with one of them can still be read.
"""

import asyncio
import contextlib
import json
import re
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any, Final

from lycheedeal.exceptions import DecodeError

# Objects of the platform have up to nine levels.
_MAX_LEVELS: Final = 32
# All whole numbers of the platform have 64 bits at most.
_MAX_DIGITS: Final = 20
_STRING_OR_BRACKETS: Final = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+', re.DOTALL
)
# Strings and brackets that are looked at before other work of the process goes on.
_BATCH: Final = 2000


async def decode_answer(body: bytes, progressed: Callable[[], None]) -> Any:
    """Return the JSON value of an answer's body.

    Bytes that are not UTF-8 become lone surrogates; values with too many levels and
    whole numbers with too many digits become None. Raises DecodeError if the rest is
    not JSON. An answer that takes long is decoded in steps, between which the event
    loop does other work; ``progressed`` is called after each.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        text = body.decode(errors='surrogateescape')
    with contextlib.suppress(RecursionError):
        return _decode_text(text)
    pieces: list[str] = []
    remaining = _without_deep_values(text)
    while batch := tuple(islice(remaining, _BATCH)):
        pieces.extend(batch)
        progressed()
        await asyncio.sleep(0)
    try:
        return _decode_text(''.join(pieces))
    except RecursionError as error:
        raise DecodeError(f'answer is not JSON: {error}') from error


def _decode_text(text: str) -> Any:
    try:
        return json.loads(text, parse_int=_parse_int, strict=False)
    except ValueError as error:
        raise DecodeError(f'answer is not JSON: {error}') from error


def _without_deep_values(text: str) -> Iterator[str]:
    """Yield the pieces of a JSON text, with null for each value at a level too deep.

    There is a piece, often an empty one, for each string and for each run of brackets.
    """
    level = 0
    copied = 0
    for match in _STRING_OR_BRACKETS.finditer(text):
        start, end = match.span()
        piece = ''
        match text[start]:
            case '[' | '{':
                kept = _MAX_LEVELS - level
                level += end - start
                if 0 <= kept < end - start:
                    piece = text[copied : start + kept]
            case ']' | '}':
                level -= end - start
                if level <= _MAX_LEVELS < level + end - start:
                    copied = end - (_MAX_LEVELS - level)
                    piece = 'null'
        yield piece
    yield text[copied:]


def _parse_int(digits: str) -> int | None:
    return int(digits) if len(digits) <= _MAX_DIGITS else None
