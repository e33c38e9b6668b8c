"""Plug-in ``operators``: answers queries of operators and requests their changes."""

from lycheedeal import kernel
from lycheedeal.operators._parser import parse_statement
from lycheedeal.operators._plugin import OperatorsPlugin
from lycheedeal.operators._statements import ChangeStatement, Query, Statement

__all__ = (
    'ChangeStatement',
    'OperatorsPlugin',
    'Query',
    'Statement',
    'parse_statement',
)

kernel.register(
    kernel.PluginSpec(
        name='operators',
        factory=OperatorsPlugin,
        events=frozenset(
            (
                kernel.StatementReceived,
                kernel.ChangeDecided,
                kernel.StatusKnown,
                kernel.Tick,
                kernel.ConfigurationChanged,
                kernel.MembersChanged,
                kernel.UpstreamChanged,
                kernel.Refused,
                kernel.FlowOpened,
                kernel.FlowClosed,
                kernel.RequestFinished,
                kernel.GossipReceived,
            ),
        ),
    ),
)
