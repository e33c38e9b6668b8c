"""Process around the packet relay; the front end is handed in."""

from lycheedeal.hosting._host import (
    Dispatch,
    FrontEnd,
    Host,
    SystemClock,
)
from lycheedeal.hosting._http import Answer, HttpServer, HttpStatus
from lycheedeal.hosting._logs import LogWriter

__all__ = (
    'Answer',
    'Dispatch',
    'FrontEnd',
    'Host',
    'HttpServer',
    'HttpStatus',
    'LogWriter',
    'SystemClock',
)
