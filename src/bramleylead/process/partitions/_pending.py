"""Appends that wait for the second copy, and how an owner stands to it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

import anyio
from result import Result

from bramleylead.errors import Failure
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._entries import GrantAdded
from bramleylead.process.journal._entries import GrantReturning
from bramleylead.process.journal._entries import RolledBack


class Mode(StrEnum):
    """How an owner stands to its second copy."""

    PAIRED = "paired"
    REPAIRING = "repairing"
    """The second copy is lost or in doubt: appends wait until there is a new pair."""
    MOVING = "moving"
    """Being handed over: what was sent is still acknowledged, nothing new is sent."""
    SOLO = "solo"
    """Second copy lost, store out, outage confirmed by peers."""
    LOST = "lost"
    """Another node owns the partition."""


@dataclass(eq=False)
class Pending:
    """Entries that wait for the second copy. ``first`` is 0 until they are sent.

    :param mark: number of the message that carried them; without entries, what is waited for.
    """

    entries: tuple[Entry, ...]
    packed: tuple[bytes, ...]
    first: int = 0
    mark: int = 0
    sent_at: float = 0.0
    outcome: Result[bool, Failure] | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    @property
    def last(self) -> int:
        """Sequence number of the last entry, once sent."""
        return self.first + len(self.entries) - 1

    def finish(self, outcome: Result[bool, Failure]) -> None:
        """Wake the caller with an outcome."""
        self.outcome = outcome
        self.done.set()


def may_be_lost(entry: Entry) -> bool:
    """Whether a single copy is enough for an entry while there can't be two.

    Not for the intent of a call that may not be repeated, since a successor would run it again,
    and not for what the budgets' objects in the store must agree with.
    """
    match entry:
        case CallIntended():
            return entry.repeatable
        case GrantAdded() | GrantReturning() | RolledBack():
            return False
    return True
