"""Runs all measurements: ``python -m bench``."""

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
    """Run each module's ``main``."""
    for name in MODULES:
        module = importlib.import_module(f'bench.{name}')
        module.main()


if __name__ == '__main__':
    main()
