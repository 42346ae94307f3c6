"""The command line: ``bramleylead COMMAND [FLAGS] [WORDS]``."""

from __future__ import annotations

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._main import main
from bramleylead.cli._registry import command

__all__ = ["ExitCode", "command", "main"]
