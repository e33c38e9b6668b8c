"""Explanation of a choice; loaded only when somebody asks for one."""

from lycheedeal.placement._explanation import explain

__all__ = ('explain',)
