"""Finds the command, reads its flags, and runs it."""

from __future__ import annotations

import sys
import textwrap
from collections.abc import Sequence

from absl import flags

from bramleylead import __version__
from bramleylead.cli import _registry
from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import Command

PROGRAM = "bramleylead"
HELP_WORDS = ("--help", "-h", "-help", "help")
HELP_WIDTH = 88
INTERRUPTED = 130


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    :param argv: the program's name and its arguments.
    """
    words = list(sys.argv if argv is None else argv)[1:]
    if not words:
        print(overview(), file=sys.stderr)
        return ExitCode.USAGE
    if words[0] in HELP_WORDS:
        print(overview())
        return ExitCode.OK
    if words[0] == "--version":
        print(f"{PROGRAM} {__version__}")
        return ExitCode.OK
    found = _registry.load(words[0])
    if found is None:
        known = ", ".join(_registry.names())
        print(f"command: {words[0]}: must be one of {known}", file=sys.stderr)
        return ExitCode.USAGE
    return _run(found, words[1:])


def overview() -> str:
    """Return the help of the whole program."""
    lines = [f"usage: {PROGRAM} COMMAND [FLAGS] [WORDS]", "", "Commands:"]
    for name in _registry.names():
        found = _registry.load(name)
        if found is not None:
            lines.append(f"  {name:<9} {found.summary}")
    return "\n".join([*lines, "", f"Flags of each: {PROGRAM} COMMAND --help"])


def describe(found: Command, values: flags.FlagValues) -> str:
    """Return the help of one command."""
    usage = f"usage: {PROGRAM} {found.name} [FLAGS] {found.usage}".rstrip()
    lines = [usage, "", found.summary]
    names = sorted(values)
    if names:
        lines += ["", "Flags:"]
    for name in names:
        flag = values[name]
        lines.append(f"  --{name}={flag.default_as_str or ''}")
        lines += textwrap.wrap(
            flag.help or "", HELP_WIDTH, initial_indent=" " * 6, subsequent_indent=" " * 6
        )
    return "\n".join(lines)


def _run(found: Command, words: list[str]) -> int:
    values = flags.FlagValues()
    found.define_flags(values)
    if any(word in HELP_WORDS[:-1] for word in words):
        print(describe(found, values))
        return ExitCode.OK
    try:
        rest = values([f"{PROGRAM} {found.name}", *words])[1:]
    except flags.Error as error:
        print(f"{found.name}: {error}", file=sys.stderr)
        return ExitCode.USAGE
    try:
        return found.run(values, rest)
    except KeyboardInterrupt:
        return INTERRUPTED
