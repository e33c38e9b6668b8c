"""Closed list of error kinds and the answer that each one gets."""

from lycheedeal.errors._kinds import ErrorKind
from lycheedeal.errors._table import ANSWERS, ErrorAnswer, Verdict, answer_for

__all__ = ('ANSWERS', 'ErrorAnswer', 'ErrorKind', 'Verdict', 'answer_for')
