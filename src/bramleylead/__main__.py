"""Lets ``python -m bramleylead`` run the command line."""

from __future__ import annotations

import sys

from bramleylead._signals import SIGNALS_OF_COMMAND
from bramleylead._signals import signals_of


def run() -> int:
    """Run the command line; what serves keeps its signals while the libraries are imported."""
    command = sys.argv[1] if len(sys.argv) > 1 else ""
    if command not in SIGNALS_OF_COMMAND:
        return _run_command_line()
    with signals_of(command) as signals:
        signals.ignore_after_exit()
        return _run_command_line()


def _run_command_line() -> int:
    from bramleylead.cli import main

    return main(sys.argv)


if __name__ == "__main__":
    sys.exit(run())
