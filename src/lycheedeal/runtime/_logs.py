"""Writes log lines to standard error, as text or JSON."""

import json
import sys
from typing import Any, Final, TextIO

import logbook

from lycheedeal.kernel import Log, LogLevel

_TEXT_FORMAT: Final = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f}Z '
    '{record.level_name} {record.channel}: {record.message}'
)
# Loggers that are kept. Names of parts are constants in the code; the bound
# guards against a part name that is built at run time by mistake.
_MAX_PARTS: Final = 64


class LogSink:
    """Writes ``Log`` effects; each line has the name of its part as prefix."""

    def __init__(
        self,
        level: str = 'INFO',
        as_json: bool = False,
        stream: TextIO | None = None,
    ) -> None:
        """Write lines of at least ``level`` to a stream, by default standard error.

        ``as_json`` selects one JSON object a line instead of text.
        """
        logbook.set_datetime_format('utc')
        self._handler = logbook.StreamHandler(
            stream or sys.stderr,
            level=level,
            format_string=_TEXT_FORMAT,
            bubble=False,
        )
        if as_json:
            self._handler.formatter = _format_json
        self._loggers_by_part: dict[str, logbook.Logger] = {}

    def write(self, effect: Log) -> None:
        """Write one line; line breaks in the text become spaces."""
        logger = self._logger(effect.part)
        # Texts may quote callers, which must not be able to forge a log line.
        text = ' '.join(effect.text.splitlines())
        match effect.level:
            case LogLevel.DEBUG:
                logger.debug('{}', text)
            case LogLevel.INFO:
                logger.info('{}', text)
            case LogLevel.WARNING:
                logger.warning('{}', text)
            case LogLevel.ERROR:
                logger.error('{}', text)

    def close(self) -> None:
        """Flush the stream; the stream itself stays open."""
        self._handler.flush()

    def _logger(self, part: str) -> logbook.Logger:
        logger = self._loggers_by_part.get(part)
        if logger is None:
            logger = logbook.Logger(part)
            logger.handlers.append(self._handler)
            if len(self._loggers_by_part) < _MAX_PARTS:
                self._loggers_by_part[part] = logger
        return logger


def _format_json(record: Any, handler: Any) -> str:
    return json.dumps(
        {
            'time': f'{record.time:%Y-%m-%dT%H:%M:%S.%f}Z',
            'level': record.level_name.lower(),
            'part': record.channel,
            'text': record.message,
        },
    )
