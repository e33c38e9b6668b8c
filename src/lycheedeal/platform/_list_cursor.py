"""Names after which a list of the store continues on its next page.

Other writers choose names, too. A page may consist of objects whose names no host can
use: too long, empty, or with bytes that are not UTF-8.
"""

import sys
from collections.abc import Iterator
from itertools import islice, takewhile
from typing import Any, Final

# Longest name that is sent as it is. HTTP servers accept request lines of about 8 KiB,
# and an encoded character takes up to twelve bytes.
_MAX_NAME_CHARS: Final = 512
# Longer than any name that a host can use, so that none of those is skipped with the
# names that begin like a longer one.
_PREFIX_CHARS: Final = 129
# Comes after the empty name and before any that begins with a printable character.
_AFTER_EMPTY: Final = ' '
# Bytes that may stand in a query as they are.
_UNRESERVED: Final = frozenset(
    byte for byte in range(128) if chr(byte).isalnum() or chr(byte) in '-._~'
)


def cursors_after(items: list[Any]) -> Iterator[str]:
    """Yield the values of ``after`` that continue a list behind a page, best first.

    A store may refuse an odd name, and need not find its place in the list. Unusable
    objects of the page may be on the next page again.
    """
    names = [name for name in map(_name_of, reversed(items)) if name is not None]
    yield from map(_percent_encoded, islice(filter(_is_plain, names), 1))
    for name in islice(names, 1):
        if len(name) <= _MAX_NAME_CHARS:
            yield _percent_encoded(name)
        if len(name) >= _PREFIX_CHARS or not _is_plain(name):
            yield _percent_encoded(_successor(name))


def _name_of(item: Any) -> str | None:
    match item:
        case {'meta': {'name': str() as name}}:
            return name
        case _:
            return None


def _is_plain(name: str) -> bool:
    return name.isprintable() and 0 < len(name) <= _MAX_NAME_CHARS


def _successor(name: str) -> str:
    """Return a plain name that comes after one that cannot be sent.

    Names between the two cannot be used, either, except some that differ from this one
    in a character that is not ASCII, where this one has a byte that is not UTF-8.
    """
    if not name:
        return _AFTER_EMPTY
    prefix = name[:_PREFIX_CHARS]
    plain = ''.join(takewhile(str.isprintable, prefix))
    follower = name[len(plain) : len(plain) + 1]
    if plain != prefix and follower.isascii():
        return f'{plain}{_next_printable(follower)}'
    return f'{plain[:-1]}{_next_printable(plain[-1:])}'


def _next_printable(character: str) -> str:
    """Return the next printable character; the last one if there is none."""
    code = ord(character) if character else sys.maxunicode
    following = map(chr, range(code + 1, sys.maxunicode))
    return next(filter(str.isprintable, following), chr(sys.maxunicode))


def _percent_encoded(name: str) -> str:
    """Return a name as it stands in a query; lone surrogates stand for single bytes."""
    try:
        content = name.encode(errors='surrogateescape')
    except UnicodeEncodeError:
        content = name.encode(errors='surrogatepass')
    return ''.join(
        chr(byte) if byte in _UNRESERVED else f'%{byte:02X}' for byte in content
    )
