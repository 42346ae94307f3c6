"""The commands: a decorator registers each, with its own flags."""

from __future__ import annotations

import importlib
import pkgutil
import sys
from collections.abc import Callable
from typing import NamedTuple

from absl import flags

from bramleylead.cli import commands
from bramleylead.cli._exit import ExitCode

Run = Callable[[flags.FlagValues, list[str]], int]
DefineFlags = Callable[[flags.FlagValues], None]


class Command(NamedTuple):
    """One command.

    :param usage: the words after the command's name, as ``--help`` shows them.
    :param summary: what it does, in one line.
    :param define_flags: defines the command's flags.
    :param run: gets the parsed flags and the other words; returns the exit code.
    """

    name: str
    usage: str
    summary: str
    define_flags: DefineFlags
    run: Run


COMMANDS: dict[str, Command] = {}


def no_flags(values: flags.FlagValues) -> None:
    """Define no flags."""


def command(
    name: str, *, usage: str = "", summary: str, define_flags: DefineFlags = no_flags
) -> Callable[[Run], Run]:
    """Register a function as a command.

    :raises ValueError: if the name is taken.
    """

    def register(run: Run) -> Run:
        if name in COMMANDS:
            raise ValueError(f"command {name} is registered already")
        COMMANDS[name] = Command(name, usage, summary, define_flags, run)
        return run

    return register


def names() -> list[str]:
    """Return the names of all commands: one module each."""
    return sorted(module.name for module in pkgutil.iter_modules(commands.__path__))


def load(name: str) -> Command | None:
    """Import the module of one command, and no other's; ``None`` for an unknown command.

    A deployment has only the libraries that its own commands need. The others are still listed.
    """
    if name not in names():
        return None
    try:
        importlib.import_module(f"{commands.__name__}.{name}")
    except ModuleNotFoundError as error:
        library = error.name or ""
        if library.partition(".")[0] == __name__.partition(".")[0]:
            raise
        return _unavailable(name, library)
    return COMMANDS[name]


def _unavailable(name: str, library: str) -> Command:
    """Return a command that only says which library it lacks."""
    detail = f"needs {library}, which is not installed"

    def run(values: flags.FlagValues, words: list[str]) -> int:
        print(f"bramleylead {name}: {detail}", file=sys.stderr)
        return ExitCode.UNAVAILABLE

    return Command(name, "", f"Not available here: {detail}.", no_flags, run)
