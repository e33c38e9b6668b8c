"""Starts the relay from the folder that the build fills."""

import sys

from lycheedeal.platform.program import main

sys.exit(main())
