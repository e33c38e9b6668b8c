"""Explains the decisions about a flow or request from log lines of lychee-relay."""

from lycheedeal.explaining._explain import Explanation, explain, format_explanation
from lycheedeal.explaining._lines import LogLine, read_lines
from lycheedeal.explaining._query import (
    FlowQuery,
    Query,
    RequestQuery,
    parse_query,
)

__all__ = (
    'Explanation',
    'FlowQuery',
    'LogLine',
    'Query',
    'RequestQuery',
    'explain',
    'format_explanation',
    'parse_query',
    'read_lines',
)
