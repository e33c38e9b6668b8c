"""Allows ``python -m lycheedeal.platform``."""

import sys

from lycheedeal.platform.program import main

if __name__ == '__main__':
    sys.exit(main())
