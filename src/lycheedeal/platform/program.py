"""The program ``lychee-relay``: the packet relay on the users' platform."""

import asyncio
import gc
import random
import socket
import sys
from typing import Final

from lycheedeal import relay
from lycheedeal.exceptions import SettingsError
from lycheedeal.hosting import Host, LogWriter, SystemClock
from lycheedeal.platform._front_end import PlatformFrontEnd
from lycheedeal.platform._settings import PlatformSettings, load_settings

_USAGE_STATUS: Final = 2
_STANDARD_OUTPUT: Final = 1


def run(path: str, packets: socket.socket | None) -> int:
    """Run until the platform stops the process; return the exit status."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'lychee-relay: settings: {error}\n')
        return _USAGE_STATUS
    # Objects of the start live as long as the process.
    gc.freeze()
    gc.enable()
    asyncio.run(_serve(path, settings, packets))
    return 0


async def _serve(
    path: str,
    settings: PlatformSettings,
    packets: socket.socket | None,
) -> None:
    context = relay.RelayContext(settings.relay, SystemClock(), random.Random())
    logs = LogWriter(_STANDARD_OUTPUT, settings.relay.host_id)
    front_end = PlatformFrontEnd(path, settings, context.metrics, packets)
    host = Host(context, front_end, logs)
    try:
        await host.start()
        await host.wait()
    finally:
        host.close()
