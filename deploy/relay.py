"""Starts ``lychee-relay`` from the folder that deploy/build.sh fills."""

import gc
import os
import sys

import module_bundle

# Imports create no garbage, so collections during them only cost time.
# lycheedeal.platform.program enables the collector again.
gc.disable()
# asyncio works without TLS if ssl cannot be imported. The program uses no TLS, and
# a host is out of service until its imports are done.
sys.modules['ssl'] = None  # type: ignore[assignment]
if not module_bundle.install(os.path.join(os.path.dirname(__file__), 'modules.bundle')):
    sys.stderr.write(
        'lychee-relay: module bundle is not usable; modules are loaded from their '
        'own files, which makes the start slower\n'
    )

from lycheedeal.signals import hold_hangup  # noqa: E402

# Before the other imports, during which the platform may change the settings.
hold_hangup()

from lycheedeal.platform.start import main  # noqa: E402

sys.exit(main())
