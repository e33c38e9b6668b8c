"""Types of the values of settings, and their conversion from text."""

import ipaddress
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from urllib.parse import urlsplit

from lycheedeal.model import Endpoint

_MAX_PORT: Final = 65535
# Names become parts of object keys and values of metric labels.
_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,62}')
_DIGITS: Final = re.compile('[0-9]{1,5}')
# Limits in bytes: shorter keys can be guessed, keyed BLAKE2b refuses longer ones.
_MIN_KEY_SIZE: Final = 16
_MAX_KEY_SIZE: Final = 64
_TRUE: Final = frozenset(('1', 'true', 'yes', 'on'))
_FALSE: Final = frozenset(('', '0', 'false', 'no', 'off'))


@dataclass(frozen=True, slots=True)
class NameType:
    """Name of up to 63 letters, digits, dots, underscores and hyphens."""


@dataclass(frozen=True, slots=True)
class EndpointType:
    """IPv4 address and port, ``IP:PORT``."""


@dataclass(frozen=True, slots=True)
class ListenType:
    """IPv4 address and port to listen on; port 0 lets the system choose one."""


@dataclass(frozen=True, slots=True)
class EndpointsType:
    """Comma-separated IPv4 addresses and ports; may be empty."""


@dataclass(frozen=True, slots=True)
class UrlType:
    """Plain HTTP URL whose host is an IPv4 address, with a port."""


@dataclass(frozen=True, slots=True)
class NumberType:
    """Number from ``minimum`` to ``maximum``, both included."""

    minimum: float
    maximum: float
    integer: bool = False


@dataclass(frozen=True, slots=True)
class ChoiceType:
    """One of a few upper-case words; the text may be in lower case."""

    choices: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SwitchType:
    """True or false, in one of several spellings; the flag takes no value."""


@dataclass(frozen=True, slots=True)
class KeyType:
    """Secret key of 16 to 64 bytes in hexadecimal digits."""


@dataclass(frozen=True, slots=True)
class PathType:
    """Path of a file that the daemon writes; empty for none."""


@dataclass(frozen=True, slots=True)
class KeyFileType:
    """Path of a file that holds a secret key in hexadecimal digits."""


ValueType = (
    NameType
    | EndpointType
    | ListenType
    | EndpointsType
    | UrlType
    | NumberType
    | ChoiceType
    | SwitchType
    | KeyType
    | PathType
    | KeyFileType
)


def convert(value_type: ValueType, text: str) -> Any:
    """Return the value that a text stands for.

    Raises ValueError with a text that says what was expected or found.
    """
    value: Any
    match value_type:
        case NameType():
            value = _parse_name(text)
        case EndpointType():
            value = parse_endpoint(text)
        case ListenType():
            value = _parse_endpoint(text, min_port=0)
        case EndpointsType():
            value = parse_endpoints(text)
        case UrlType():
            value = _parse_url(text)
        case NumberType():
            value = _parse_number(value_type, text)
        case ChoiceType(choices):
            value = _parse_choice(choices, text)
        case SwitchType():
            value = _parse_switch(text)
        case PathType():
            value = text
        case KeyType():
            value = _parse_key(text)
        case KeyFileType():
            value = _parse_key(_read_key_file(text))
    return value


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint of ``IP:PORT``; raises ValueError if it is invalid."""
    return _parse_endpoint(text, min_port=1)


def _parse_endpoint(text: str, min_port: int) -> Endpoint:
    ip, colon, port = text.strip().partition(':')
    if not colon:
        raise ValueError('expected IP:PORT')
    return Endpoint(_parse_ip(ip), _parse_port(port, min_port))


def parse_endpoints(text: str) -> tuple[Endpoint, ...]:
    """Return the endpoints of ``IP:PORT,IP:PORT``; an empty text has none.

    Raises ValueError if one of them is invalid.
    """
    parts = (part.strip() for part in text.split(','))
    return tuple(parse_endpoint(part) for part in parts if part)


def _parse_ip(text: str) -> str:
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError as error:
        raise ValueError(f'{text!r} is not an IPv4 address') from error
    # Peers and callers send to this address, so it must name one host.
    if address.is_unspecified or address.is_multicast:
        raise ValueError(
            f'{text} is unspecified or multicast, expected the address of one host'
        )
    return str(address)


def _parse_port(text: str, min_port: int) -> int:
    if _DIGITS.fullmatch(text) and min_port <= int(text) <= _MAX_PORT:
        return int(text)
    raise ValueError(f'port {text!r} is not between {min_port} and {_MAX_PORT}')


def _parse_name(text: str) -> str:
    if _NAME.fullmatch(text):
        return text
    raise ValueError(
        'expected up to 63 letters, digits, dots, underscores or hyphens, '
        'the first a letter or digit',
    )


def _parse_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme != 'http' or parts.query or parts.fragment:
        raise ValueError('expected http://IP:PORT')
    parse_endpoint(parts.netloc)
    return text.rstrip('/')


def _parse_number(value_type: NumberType, text: str) -> float:
    try:
        number = int(text) if value_type.integer else float(text)
    except ValueError as error:
        raise ValueError(f'{text!r} is not a number') from error
    if value_type.minimum <= number <= value_type.maximum:
        return number
    raise ValueError(
        f'{text} is not between {value_type.minimum} and {value_type.maximum}'
    )


def _parse_choice(choices: tuple[str, ...], text: str) -> str:
    if text.upper() in choices:
        return text.upper()
    raise ValueError(f'{text!r} is not one of {", ".join(choices)}')


def _parse_switch(text: str) -> bool:
    word = text.strip().lower()
    if word in _TRUE:
        return True
    if word in _FALSE:
        return False
    raise ValueError(f'{text!r} is neither true nor false')


def _parse_key(text: str) -> bytes:
    # Error messages never contain the text, which may be a key with a typo.
    try:
        key = bytes.fromhex(text.strip())
    except ValueError as error:
        raise ValueError('expected hexadecimal digits') from error
    if _MIN_KEY_SIZE <= len(key) <= _MAX_KEY_SIZE:
        return key
    raise ValueError(
        f'key has {len(key)} bytes, expected {_MIN_KEY_SIZE} to {_MAX_KEY_SIZE}',
    )


def _read_key_file(path: str) -> str:
    try:
        return Path(path).read_text('ascii')
    except OSError as error:
        raise ValueError(f'cannot read {path!r}: {error.strerror}') from error
    except ValueError as error:
        raise ValueError('expected hexadecimal digits') from error
