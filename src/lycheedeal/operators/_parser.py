"""Parses statements of operators by the grammar in ``statements.lark``."""

from importlib import resources
from types import MappingProxyType
from typing import Any, Final, NoReturn

from lark import Lark, Token, Transformer, v_args
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedInput,
    UnexpectedToken,
    VisitError,
)

from lycheedeal import model
from lycheedeal.exceptions import StatementError
from lycheedeal.operators import _statements as statements
from lycheedeal.settings import parse_endpoint

# Length in characters; the longest valid statement has fewer than 600.
_MAX_STATEMENT_LENGTH: Final = 4096
# Length of a name in characters.
_MAX_NAME_LENGTH: Final = 63
_MAX_PRIORITY: Final = 255
_MAX_SLOTS: Final = 10_000
_MAX_CONNECTIONS: Final = 1_000_000
_PERCENT: Final = 100
_SECONDS_BY_UNIT: Final = MappingProxyType(
    {'ms': 0.001, 's': 1, 'm': 60, 'h': 3600, 'd': 86400},
)
# How error messages name the terminals of the grammar. Keywords stand for themselves.
_TERMINAL_DESCRIPTIONS: Final = MappingProxyType(
    {
        'NAME': 'a name',
        'ADDRESS': 'an address such as 10.0.0.1:80',
        'NUMBER': 'a number',
        'PERCENT': 'a percentage such as 20%',
        'DURATION': 'a duration such as 5m',
        '$END': 'the end of the statement',
        '<END-OF-FILE>': 'the end of the statement',
    },
)


def parse_statement(text: str) -> statements.Statement:
    """Return the statement that a text consists of.

    Raises StatementError, with the line and column of the error and what was
    expected there.
    """
    if len(text) > _MAX_STATEMENT_LENGTH:
        raise StatementError(
            f'statement is longer than {_MAX_STATEMENT_LENGTH} characters',
            1,
            _MAX_STATEMENT_LENGTH + 1,
        )
    try:
        statement: statements.Statement = _statement_builder.transform(
            _grammar.parse(text)
        )
    except UnexpectedInput as error:
        raise _syntax_error(error, text) from error
    except VisitError as error:
        if isinstance(error.orig_exc, StatementError):
            raise error.orig_exc from error
        raise
    return statement


@v_args(inline=True)
class _ClauseBuilder(Transformer[Token, statements.Statement]):
    """Converts the optional clauses of changes; method names are rule names."""

    def spill_never(self) -> model.SpillRule:
        return model.SpillRule.NEVER

    def spill_when_down(self) -> model.SpillRule:
        return model.SpillRule.WHEN_DOWN

    def spill_balanced(self) -> model.SpillRule:
        return model.SpillRule.BALANCED

    def floor(self, percent: Token) -> float:
        share = float(percent.rstrip('%')) / _PERCENT
        if share > 1:
            _fail(percent, 'floor is above 100%')
        return share

    def slots(self, number: Token) -> int:
        return _parse_number(number, 1, _MAX_SLOTS)

    def connections(self, number: Token) -> int:
        return _parse_number(number, 1, _MAX_CONNECTIONS)


@v_args(inline=True)
class _StatementBuilder(_ClauseBuilder):
    """Converts a parse tree to a statement; method names are rule names."""

    def start(self, statement: Any) -> statements.Statement:
        if isinstance(statement, statements.Query):
            return statement
        return statements.ChangeStatement(statement)

    def dry_run(self, change: model.Change) -> statements.Statement:
        return statements.ChangeStatement(change, dry_run=True)

    def show_services(self) -> statements.Query:
        return statements.ShowServices()

    def show_service(self, name: Token) -> statements.Query:
        return statements.ShowService(_parse_service(name))

    def show_upstreams(self, name: Token | None) -> statements.Query:
        return statements.ShowUpstreams(_parse_optional_service(name))

    def show_flows(self, name: Token | None) -> statements.Query:
        return statements.ShowFlows(_parse_optional_service(name))

    def show_hosts(self) -> statements.Query:
        return statements.ShowHosts()

    def show_config(self) -> statements.Query:
        return statements.ShowConfig()

    def show_refusals(self, duration: Token | None) -> statements.Query:
        since = None if duration is None else _parse_duration(duration)
        return statements.ShowRefusals(since)

    def create_service(
        self,
        name: Token,
        address: Token,
        spill: model.SpillRule | None,
    ) -> model.Change:
        return model.CreateService(
            _parse_service(name),
            _parse_address(address),
            spill or model.SpillRule.NEVER,
        )

    def create_kind(
        self,
        name: Token,
        service: Token,
        priority: Token,
        floor: float | None,
        idempotent: Token | None,
        long: Token | None,
    ) -> model.Change:
        return model.CreateKind(
            service=_parse_service(service),
            name=_parse_name(name),
            priority=_parse_number(priority, 0, _MAX_PRIORITY),
            floor=floor or 0,
            idempotent=idempotent is not None,
            long=long is not None,
        )

    def create_upstream(
        self,
        name: Token,
        service: Token,
        address: Token,
        zone: Token,
        slots: int | None,
        connections: int | None,
    ) -> model.Change:
        limits = {'slots': slots, 'connections': connections}
        return model.CreateUpstream(
            service=_parse_service(service),
            upstream_id=_parse_upstream(name),
            endpoint=_parse_address(address),
            zone=model.Zone(_parse_name(zone)),
            **{limit: count for limit, count in limits.items() if count},
        )

    def drain_upstream(self, name: Token, service: Token) -> model.Change:
        return model.DrainUpstream(_parse_service(service), _parse_upstream(name))

    def undrain_upstream(self, name: Token, service: Token) -> model.Change:
        return model.UndrainUpstream(_parse_service(service), _parse_upstream(name))

    def delete_service(self, name: Token) -> model.Change:
        return model.DeleteService(_parse_service(name))

    def delete_kind(self, name: Token, service: Token) -> model.Change:
        return model.DeleteKind(_parse_service(service), _parse_name(name))

    def delete_upstream(self, name: Token, service: Token) -> model.Change:
        return model.DeleteUpstream(_parse_service(service), _parse_upstream(name))

    def restore_configuration(self, service: Token) -> model.Change:
        return model.RestoreConfiguration(_parse_service(service))


def _parse_name(token: Token) -> str:
    if len(token) > _MAX_NAME_LENGTH:
        _fail(token, f'name is longer than {_MAX_NAME_LENGTH} characters')
    return str(token)


def _parse_service(token: Token) -> model.ServiceName:
    return model.ServiceName(_parse_name(token))


def _parse_optional_service(token: Token | None) -> model.ServiceName | None:
    return None if token is None else _parse_service(token)


def _parse_upstream(token: Token) -> model.UpstreamId:
    return model.UpstreamId(_parse_name(token))


def _parse_address(token: Token) -> model.Endpoint:
    try:
        return parse_endpoint(token)
    except ValueError as error:
        _fail(token, str(error))


def _parse_number(token: Token, minimum: int, maximum: int) -> int:
    # The length is checked first because int() raises ValueError for texts of
    # several thousand digits.
    if len(token) > len(str(maximum)) or not minimum <= int(token) <= maximum:
        _fail(token, f'number is not between {minimum} and {maximum}')
    return int(token)


def _parse_duration(token: Token) -> float:
    unit = token.lstrip('0123456789.')
    return float(token.removesuffix(unit)) * _SECONDS_BY_UNIT[unit]


def _fail(token: Token, detail: str) -> NoReturn:
    raise StatementError(detail, token.line or 1, token.column or 1)


def _syntax_error(error: UnexpectedInput, text: str) -> StatementError:
    line, column, found = _locate(error, text)
    expected = ' or '.join(
        sorted(_describe_terminal(name) for name in _expected_terminals(error))
    )
    return StatementError(f'found {found}, expected {expected}', line, column)


def _locate(error: UnexpectedInput, text: str) -> tuple[int, int, str]:
    if isinstance(error, UnexpectedToken) and error.token.type == '$END':
        lines = text.rstrip().split('\n')
        return len(lines), len(lines[-1]) + 1, 'the end'
    remaining_words = text[error.pos_in_stream or 0 :].split(maxsplit=1)
    return (
        error.line,
        error.column,
        repr(remaining_words[0][:_MAX_NAME_LENGTH] if remaining_words else ''),
    )


def _expected_terminals(error: UnexpectedInput) -> set[str]:
    match error:
        case UnexpectedCharacters():
            return set(error.allowed or ())
        case UnexpectedToken():
            return set(error.accepts or error.expected)
    return set()


def _describe_terminal(terminal: str) -> str:
    description = _TERMINAL_DESCRIPTIONS.get(terminal)
    return description or repr(terminal.strip('_').lower().replace('_', '-'))


_grammar: Final = Lark(
    resources.files(__package__).joinpath('statements.lark').read_text('utf-8'),
    parser='lalr',
    maybe_placeholders=True,
)
_statement_builder: Final = _StatementBuilder()
