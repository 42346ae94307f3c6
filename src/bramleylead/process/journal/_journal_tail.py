"""The last entries of a partition's journal, which are not in the store yet."""

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
    """Entries after sequence number ``flushed``, oldest first.

    During an outage of the store the tail could grow without bound. It is dropped when it exceeds
    ``TAIL_LIMIT_BYTES``. The state contains the effect of all entries, so the next flush writes a
    snapshot instead of segments.
    """

    def __init__(self, flushed: int = 0, flushed_digest: int = 0) -> None:
        self.flushed = flushed
        self.flushed_digest = flushed_digest
        self.entries: deque[TailEntry] = deque()
        self.size_bytes = 0
        self.dropped = False

    def add(self, entry: TailEntry) -> None:
        """Add the next entry."""
        if self.dropped:
            return
        self.entries.append(entry)
        self.size_bytes += len(entry.packed)
        if self.size_bytes > TAIL_LIMIT_BYTES:
            self.drop()

    def drop(self) -> None:
        """Discard the entries; the next flush must write a snapshot."""
        self.entries.clear()
        self.size_bytes = 0
        self.dropped = True

    def mark_flushed(self, sequence: int) -> None:
        """Remove the entries up to a sequence number, since the store holds them."""
        if sequence <= self.flushed:
            return
        self.flushed = sequence
        while self.entries and self.entries[0].sequence <= sequence:
            entry = self.entries.popleft()
            self.size_bytes -= len(entry.packed)
            self.flushed_digest = entry.digest

    def restart(self) -> None:
        """Restart with no entries, since a snapshot of the state so far is being written."""
        self.entries.clear()
        self.size_bytes = 0
        self.dropped = False

    def mark_snapshot_stored(self, sequence: int, digest: int) -> None:
        """Record that the store holds a snapshot up to a sequence number."""
        self.mark_flushed(sequence)
        self.flushed_digest = digest

    def is_contiguous_up_to(self, sequence: int) -> bool:
        """Whether the flushed and the kept entries together reach ``sequence`` without a gap."""
        if self.dropped:
            return False
        if not self.entries:
            return self.flushed == sequence
        return self.entries[0].sequence == self.flushed + 1
