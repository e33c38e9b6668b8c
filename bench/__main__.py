"""Runs the benchmarks one after the other: ``python -m bench``.

``bench.relay_logs`` and the report ``bench.rounds`` are run on their own.
"""

import importlib

MODULES = (
    'packets',
    'flows',
    'memory',
    'daemons',
    'membership',
    'control',
    'relay',
    'relay_zone',
)


def main() -> None:
    """Import each module and run its ``main``; each prints JSON lines."""
    for name in MODULES:
        module = importlib.import_module(f'bench.{name}')
        module.main()


if __name__ == '__main__':
    main()
