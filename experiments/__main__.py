"""Runs all comparisons: ``python -m experiments``."""

import importlib

MODULES = ('steering', 'ownership', 'slots')


def main() -> None:
    """Run each module's ``main``."""
    for name in MODULES:
        importlib.import_module(f'experiments.{name}').main()


if __name__ == '__main__':
    main()
