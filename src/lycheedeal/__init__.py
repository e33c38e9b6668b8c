"""Layer-4 load balancer and coordination library."""

from typing import Final

__version__: Final = '0.1.0'
