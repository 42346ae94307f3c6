"""Pending appends of an owned partition, and its replication mode."""

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


class ReplicationMode(StrEnum):
    """Replication mode of an owned partition."""

    PAIRED = "paired"
    """The second copy acknowledges appends."""
    REPAIRING = "repairing"
    """The second copy is lost or in doubt: appends wait for a new pair."""
    MOVING = "moving"
    """Handover or close: in-flight appends can still be acknowledged, no new ones are sent."""
    SOLO = "solo"
    """No second copy: peers confirm a store outage, or there is no other node."""
    LOST = "lost"
    """Another node owns the partition."""


@dataclass(eq=False)
class PendingAppend:
    """Entries that wait for acknowledgement by the second copy.

    :param first_sequence: sequence number of the first entry; 0 until the entries are sent.
    :param message_number: number of the :class:`Append` message that carries them. An append
        without entries completes when this message is acknowledged.
    """

    entries: tuple[Entry, ...]
    packed: tuple[bytes, ...]
    first_sequence: int = 0
    message_number: int = 0
    sent_at: float = 0.0
    outcome: Result[bool, Failure] | None = None
    done: anyio.Event = field(default_factory=anyio.Event)

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last entry; valid once the entries are sent."""
        return self.first_sequence + len(self.entries) - 1

    def finish(self, outcome: Result[bool, Failure]) -> None:
        """Set the outcome and wake the caller."""
        self.outcome = outcome
        self.done.set()


def allows_single_copy(entry: Entry) -> bool:
    """Whether an entry may be acknowledged with one copy while a second one is impossible.

    Excluded are intents of calls that must not be repeated, since a successor that lacks the
    intent would run the call again, and entries that must match the budget objects in the store.
    """
    match entry:
        case CallIntended():
            return entry.repeatable
        case GrantAdded() | GrantReturning() | RolledBack():
            return False
    return True
