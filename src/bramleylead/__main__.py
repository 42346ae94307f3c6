"""Lets ``python -m bramleylead`` run the command line."""

from __future__ import annotations

import contextlib
import os
import sys

from bramleylead._signals import SIGNALS_OF_COMMAND
from bramleylead._signals import signals_of


def run() -> int:
    """Run the command line; what serves keeps its signals from here to the end of the process."""
    command = sys.argv[1] if len(sys.argv) > 1 else ""
    if command not in SIGNALS_OF_COMMAND:
        return _run_command_line()
    with signals_of(command):
        code = _run_command_line()
        _end(code)
    return code


def _run_command_line() -> int:
    from bramleylead.cli import main

    return main(sys.argv)


def _end(code: int) -> None:
    """End the process without waiting for its threads: a disk may hold one up for good."""
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):
            print(end="", file=stream, flush=True)
    os._exit(code)


if __name__ == "__main__":
    sys.exit(run())
