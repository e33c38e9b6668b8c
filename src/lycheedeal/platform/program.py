"""The program ``lychee-relay``: the packet relay on the users' platform."""

import asyncio
import gc
import os
import random
import sys
from typing import Final

from lycheedeal import relay
from lycheedeal.exceptions import SettingsError
from lycheedeal.hosting import Host, LogWriter, SystemClock
from lycheedeal.platform._front_end import PlatformFrontEnd
from lycheedeal.platform._settings import PlatformSettings, load_settings

_SETTINGS_VARIABLE: Final = 'LYCHEEDEAL_CONFIG'
_USAGE_STATUS: Final = 2
_STANDARD_OUTPUT: Final = 1


def main() -> int:
    """Run until the platform stops the process; return the exit status."""
    path = os.environ.get(_SETTINGS_VARIABLE, '')
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'lychee-relay: settings: {error}\n')
        return _USAGE_STATUS
    # Objects of the start live as long as the process.
    gc.freeze()
    gc.enable()
    asyncio.run(_run(path, settings))
    return 0


async def _run(path: str, settings: PlatformSettings) -> None:
    context = relay.RelayContext(settings.relay, SystemClock(), random.Random())
    logs = LogWriter(_STANDARD_OUTPUT, settings.relay.host_id)
    front_end = PlatformFrontEnd(path, settings, context.counters)
    host = Host(context, front_end, logs)
    try:
        await host.start()
        await host.wait()
    finally:
        host.close()
