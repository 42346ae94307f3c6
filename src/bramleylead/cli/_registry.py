"""The commands: a decorator registers each, with its own flags."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from typing import NamedTuple

from absl import flags

from bramleylead.cli import commands

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
    """Import the module of one command, and no other's; ``None`` for an unknown command."""
    if name not in names():
        return None
    importlib.import_module(f"{commands.__name__}.{name}")
    return COMMANDS[name]
