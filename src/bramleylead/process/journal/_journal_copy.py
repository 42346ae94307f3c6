"""One copy of a partition: its state and its position in the journal.

Owners and second copies apply entries through the same code, so that their states can't diverge.
"""

from __future__ import annotations

from typing import final

import msgpack

from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._journal_tail import JournalTail
from bramleylead.process.journal._journal_tail import TailEntry
from bramleylead.process.journal._state import PartitionState
from bramleylead.process.journal._state_codec import EMPTY_DIGEST
from bramleylead.process.journal._state_codec import extend_digest
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import unpack_entry
from bramleylead.process.journal._state_codec import unpack_state


@final
class JournalCopy:
    """State, last applied sequence number, digest of the journal up to it, and unflushed tail."""

    def __init__(self) -> None:
        self.state = PartitionState()
        self.sequence = 0
        self.digest = EMPTY_DIGEST
        self.tail = JournalTail()

    def apply(self, entry: Entry, packed: bytes) -> None:
        """Apply the next entry.

        :param packed: the entry as bytes.
        """
        self.state.apply(entry)
        self.sequence += 1
        self.digest = extend_digest(self.digest, packed)
        self.tail.add(TailEntry(self.sequence, self.digest, packed))

    def apply_packed(self, packed: bytes) -> None:
        """Apply the next entry from its packed bytes."""
        self.apply(unpack_entry(packed), packed)

    def pack(self) -> bytes:
        """Return the state and the tail as bytes."""
        tail = [list(entry) for entry in self.tail.entries]
        flushed = [self.tail.flushed, self.tail.flushed_digest, self.tail.dropped]
        return msgpack.packb([pack_state(self.state), flushed, tail])

    @classmethod
    def unpack(cls, data: bytes, *, sequence: int, digest: int) -> JournalCopy:
        """Return the copy that :meth:`pack` packed at this position in the journal."""
        state, (flushed, flushed_digest, dropped), tail = msgpack.unpackb(data)
        copy = cls()
        copy.state = unpack_state(state)
        copy.sequence = sequence
        copy.digest = digest
        copy.tail = JournalTail(flushed, flushed_digest)
        for entry in tail:
            copy.tail.add(TailEntry(*entry))
        if dropped:
            copy.tail.drop()
        return copy
