"""Lets ``python -m bramleylead`` run the command line."""

from __future__ import annotations

import contextlib
import gc
import os
import sys
from collections.abc import Iterator

from bramleylead._signals import SIGNALS_OF_COMMAND
from bramleylead._signals import signals_of

COLLECTION_THRESHOLD = 10_000
"""New objects after which the youngest are collected. With the usual 700, collections took 4 in 100
of a turn's processor time, and requests leave few cycles."""


def run() -> int:
    """Run the command line; what serves keeps its signals from here to the end of the process."""
    command = sys.argv[1] if len(sys.argv) > 1 else ""
    if command not in SIGNALS_OF_COMMAND:
        return _run_command_line()
    with signals_of(command):
        with _collection_paused():
            _import_command(command)
        code = _run_command_line()
        _end(code)
    return code


def _run_command_line() -> int:
    from bramleylead.cli import main

    return main(sys.argv)


@contextlib.contextmanager
def _collection_paused() -> Iterator[None]:
    """Pause the cyclic collector, then exempt all that exists from it.

    The imports of a role trigger about a hundred collections and leave almost no garbage. What they
    create stays until the process ends, so that later collections skip it too, and are rarer.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.set_threshold(COLLECTION_THRESHOLD)
        gc.enable()


def _import_command(command: str) -> None:
    from bramleylead.cli import _registry

    _registry.load(command)


def _end(code: int) -> None:
    """End the process without waiting for its threads: a disk may hold one up for good."""
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):
            print(end="", file=stream, flush=True)
    os._exit(code)


if __name__ == "__main__":
    sys.exit(run())
