"""Exit codes, the same for every command."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1
    """It ran and did not reach its aim, such as a bench with a failed check."""
    USAGE = 2
    """Unknown command, flag or word."""
    INVALID = 3
    """A settings or ticket file has faults."""
    REFUSED = 4
    """A node refused the request; its answer is shown."""
    UNREACHABLE = 5
    """No node answered, or not in time."""
    UNAVAILABLE = 6
    """A library that the command needs is not installed."""
    SYSTEM_REFUSED = 7
    """A process of a deployment ended because the operating system refused something."""
    UNEXPECTED = 8
    """An unexpected error ended a process of a deployment: a fault of the program."""
