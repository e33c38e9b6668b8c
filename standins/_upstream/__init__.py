"""Plug-ins of the upstream stand-in; importing the package registers them."""

from standins._upstream import _flows, _health, _runs
from standins._upstream._state import (
    PROGRAM,
    AnswerOrder,
    Context,
    Control,
    Drain,
    FailAtOnce,
    LieAboutLoad,
    SilencePort,
    StopHello,
    Undrain,
    UpstreamSettings,
    apply_control,
)

__all__ = (
    'PROGRAM',
    'AnswerOrder',
    'Context',
    'Control',
    'Drain',
    'FailAtOnce',
    'LieAboutLoad',
    'SilencePort',
    'StopHello',
    'Undrain',
    'UpstreamSettings',
    '_flows',
    '_health',
    '_runs',
    'apply_control',
)
