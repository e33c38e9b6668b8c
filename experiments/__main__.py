"""Runs the experiments one after the other: ``python -m experiments``."""

import importlib

MODULES = ('steering', 'ownership', 'slots')


def main() -> None:
    """Import each module and run its ``main``; each prints JSON lines."""
    for name in MODULES:
        importlib.import_module(f'experiments.{name}').main()


if __name__ == '__main__':
    main()
