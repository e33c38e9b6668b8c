"""The program ``lychee-relay``: runs the packet relay on the platform."""

import asyncio
import gc
import random
import socket
import sys
from typing import Final

from lycheedeal import relay
from lycheedeal.exceptions import SettingsError
from lycheedeal.hosting import LogWriter, RelayRuntime, SystemClock
from lycheedeal.platform._front_end import PlatformFrontEnd
from lycheedeal.platform._settings import PlatformSettings, load_settings
from lycheedeal.signals import hold_all, release_hangup

# Exit status of the process.
_INVALID_SETTINGS_STATUS: Final = 2
_STDOUT_DESCRIPTOR: Final = 1


def run(path: str, packet_socket: socket.socket | None) -> int:
    """Run the program until it is stopped; return the exit status.

    ``path`` is the settings file; invalid settings end the program with status
    2. ``packet_socket`` is an already bound socket, or None to bind one.
    """
    try:
        settings = load_settings(path)
    except SettingsError as error:
        sys.stderr.write(f'lychee-relay: settings: {error}\n')
        return _INVALID_SETTINGS_STATUS
    # Objects created by the imports live as long as the process; freezing them
    # keeps them out of every garbage collection. deploy/relay.py disables the
    # collector during the imports.
    gc.freeze()
    gc.enable()
    asyncio.run(_serve(path, settings, packet_socket))
    return 0


async def _serve(
    path: str,
    settings: PlatformSettings,
    packet_socket: socket.socket | None,
) -> None:
    context = relay.RelayContext(settings.relay, SystemClock(), random.Random())
    logs = LogWriter(_STDOUT_DESCRIPTOR, settings.relay.host_id)
    front_end = PlatformFrontEnd(path, settings, context.metrics, packet_socket)
    runtime = RelayRuntime(context, front_end, logs)
    try:
        await runtime.start()
        release_hangup()
        await runtime.wait()
    finally:
        # The event loop removes its signal handlers when it is closed.
        hold_all()
        runtime.close()
