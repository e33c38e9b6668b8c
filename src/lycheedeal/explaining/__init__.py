"""Explains what happened to a flow or a request, from log lines alone."""

from lycheedeal.explaining._explain import Explanation, explain, explain_lines
from lycheedeal.explaining._lines import LogLine, read_lines
from lycheedeal.explaining._question import (
    FlowQuestion,
    Question,
    RequestQuestion,
    parse_question,
)

__all__ = (
    'Explanation',
    'FlowQuestion',
    'LogLine',
    'Question',
    'RequestQuestion',
    'explain',
    'explain_lines',
    'parse_question',
    'read_lines',
)
