"""Exceptions in plug-ins of the packet relay."""

from collections.abc import Iterator
from typing import Final

from lycheedeal.dispatch import Publish
from lycheedeal.relay._context import RelayContext
from lycheedeal.relay._effects import Effect, LogRecord, Part
from lycheedeal.relay._events import (
    ContentChanged,
    ContentNotApplied,
    EvacuationsChanged,
    Event,
    RoutesChanged,
    UpstreamsChanged,
)

# Events that carry content to the plug-ins that act on it.
_CONTENT_EVENTS: Final = (
    ContentChanged,
    RoutesChanged,
    UpstreamsChanged,
    EvacuationsChanged,
)


def failure_effects(
    context: RelayContext, plugin: object, event: Event, error: Exception
) -> Iterator[Effect]:
    """Yield the effects of an exception that a plug-in raised at an event."""
    name = type(plugin).__name__
    context.metrics.add('plugin_failures', name)
    yield LogRecord(
        Part.KERNEL,
        'failure',
        'Plug-in raised an exception; the other plug-ins handle the event.',
        {
            'plugin': name,
            'event': type(event).__name__,
            'error': f'{type(error).__name__}: {error}',
            'line': _line_of(error),
        },
    )
    if isinstance(event, _CONTENT_EVENTS):
        yield Publish(ContentNotApplied())


def _line_of(error: Exception) -> str:
    """Return the file and line that raised an exception."""
    frame = error.__traceback__
    while frame is not None and frame.tb_next is not None:
        frame = frame.tb_next
    if frame is None:
        return ''
    return f'{frame.tb_frame.f_code.co_filename}:{frame.tb_lineno}'


def failed_effect_record(effect: Effect, error: Exception) -> LogRecord:
    """Return the log record of an effect that could not be carried out."""
    return LogRecord(
        Part.KERNEL,
        'failure',
        'Effect could not be carried out; the others are.',
        {
            'effect': type(effect).__name__,
            'error': f'{type(error).__name__}: {error}',
            'line': _line_of(error),
        },
    )
