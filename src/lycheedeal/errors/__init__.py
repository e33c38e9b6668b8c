"""All kinds of errors, and the answer that is given for each of them."""

from lycheedeal.errors._kinds import ErrorKind
from lycheedeal.errors._table import ANSWERS, ErrorAnswer, Verdict, answer_for

__all__ = ('ANSWERS', 'ErrorAnswer', 'ErrorKind', 'Verdict', 'answer_for')
