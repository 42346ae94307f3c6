"""The end of a partition's journal that the store does not hold yet."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple
from typing import final

TAIL_LIMIT_BYTES = 4_000_000


class TailEntry(NamedTuple):
    """One packed entry, its sequence number, and the journal's digest after it."""

    sequence: int
    digest: int
    packed: bytes


@final
class JournalTail:
    """Entries above ``flushed``, oldest first.

    While the store is out the tail could grow without bound. Above a limit it is dropped; the
    state itself holds everything, so that a snapshot takes the place of the dropped segments.
    """

    def __init__(self, flushed: int = 0, flushed_digest: int = 0) -> None:
        self.flushed = flushed
        self.flushed_digest = flushed_digest
        self.entries: deque[TailEntry] = deque()
        self.size_bytes = 0
        self.dropped = False

    def add(self, entry: TailEntry) -> None:
        """Take in the next entry."""
        if self.dropped:
            return
        self.entries.append(entry)
        self.size_bytes += len(entry.packed)
        if self.size_bytes > TAIL_LIMIT_BYTES:
            self.drop()

    def drop(self) -> None:
        """Give the entries up: the next flush must be a snapshot."""
        self.entries.clear()
        self.size_bytes = 0
        self.dropped = True

    def mark_flushed(self, sequence: int) -> None:
        """Forget the entries up to a sequence number: the store holds them."""
        if sequence <= self.flushed:
            return
        self.flushed = sequence
        while self.entries and self.entries[0].sequence <= sequence:
            entry = self.entries.popleft()
            self.size_bytes -= len(entry.packed)
            self.flushed_digest = entry.digest

    def gather_again(self) -> None:
        """Keep entries from here on, since a snapshot of what came before is being written."""
        self.entries.clear()
        self.size_bytes = 0
        self.dropped = False

    def mark_snapshot(self, sequence: int, digest: int) -> None:
        """Take in that a snapshot up to a sequence number is in the store."""
        self.mark_flushed(sequence)
        self.flushed_digest = digest

    def continues(self, sequence: int) -> bool:
        """Whether flushed and kept entries together reach to ``sequence`` without a gap."""
        if self.dropped:
            return False
        if not self.entries:
            return self.flushed == sequence
        return self.entries[0].sequence == self.flushed + 1
