"""Allows ``python -m lycheedeal.platform``."""

import sys

from lycheedeal.platform.start import main

if __name__ == '__main__':
    sys.exit(main())
