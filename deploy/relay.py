"""Starts the relay from the folder that the build fills."""

import gc
import os
import sys

import module_bundle

# Imports create no garbage, but the collector would look for it.
gc.disable()
# asyncio does without TLS if ssl cannot be imported. The relay uses none, and
# a host is out of service until its imports are done.
sys.modules['ssl'] = None  # type: ignore[assignment]
# Without the bundle the modules come from their files.
module_bundle.install(os.path.join(os.path.dirname(__file__), 'modules.bundle'))

from lycheedeal.platform.start import main  # noqa: E402

sys.exit(main())
