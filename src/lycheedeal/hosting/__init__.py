"""Process of ``lychee-relay``: event loop, peer socket, HTTP server and logs.

The front end, which knows the platform's formats, is passed in.
"""

from lycheedeal.hosting._http import HttpResponse, HttpServer, HttpStatus
from lycheedeal.hosting._logs import LogWriter
from lycheedeal.hosting._runtime import (
    Dispatch,
    FrontEnd,
    RelayRuntime,
    SystemClock,
)

__all__ = (
    'Dispatch',
    'FrontEnd',
    'HttpResponse',
    'HttpServer',
    'HttpStatus',
    'LogWriter',
    'RelayRuntime',
    'SystemClock',
)
