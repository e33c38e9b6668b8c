"""Entry point of ``python -m lycheedeal.platform``; same as ``lychee-relay``."""

import sys

from lycheedeal.platform.start import main

if __name__ == '__main__':
    sys.exit(main())
