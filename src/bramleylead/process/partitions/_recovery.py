"""Rebuilds a partition from the store after the loss of both copies."""

from __future__ import annotations

from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from bramleylead.platform._store import ObjectStore
from bramleylead.platform._store import StoreError
from bramleylead.process.journal._entries import RolledBack
from bramleylead.process.journal._journal_copy import JournalCopy
from bramleylead.process.journal._journal_store import SEGMENT
from bramleylead.process.journal._journal_store import SNAPSHOT
from bramleylead.process.journal._journal_store import BlobName
from bramleylead.process.journal._journal_store import Segment
from bramleylead.process.journal._journal_store import Snapshot
from bramleylead.process.journal._journal_store import join_pieces
from bramleylead.process.journal._journal_store import read_pieces
from bramleylead.process.journal._journal_tail import JournalTail
from bramleylead.process.journal._state_codec import extend_digest
from bramleylead.process.journal._state_codec import pack_entry
from bramleylead.process.journal._state_codec import state_digest
from bramleylead.process.journal._state_codec import unpack_state
from bramleylead.process.partitions._partition_record import PartitionRecord

FIRST_EPOCH = 1


class Recovered(NamedTuple):
    """A rebuilt copy, and whether it may lack acknowledged entries."""

    copy: JournalCopy
    may_miss_entries: bool


async def recover(
    store: ObjectStore, partition: int, record: PartitionRecord
) -> Result[Recovered, StoreError]:
    """Rebuild a copy from the newest complete snapshot and the segments after it.

    Unless the journal was closed and fully flushed, acknowledged entries may never have reached
    the store. Every program then gets a higher incarnation, by which callers notice the loss.
    """
    pieces = await read_pieces(store, partition)
    if isinstance(pieces, Err):
        return pieces
    copy = rebuild(join_pieces(pieces.ok_value))
    never_paired = record.epoch == FIRST_EPOCH
    may_miss = not never_paired and record.clean_sequence != copy.sequence
    if may_miss:
        entry = RolledBack(record.incarnation + 1)
        copy.apply(entry, pack_entry(entry))
    # New segments must not be combined with ones that a former owner writes late.
    copy.tail.drop()
    return Ok(Recovered(copy, may_miss))


def rebuild(blobs: dict[BlobName, bytes]) -> JournalCopy:
    """Return the copy given by the newest valid snapshot and the segments that continue it."""
    copy = JournalCopy()
    snapshots = [name for name in blobs if name.kind == SNAPSHOT]
    for name in sorted(snapshots, reverse=True):
        loaded = _load_snapshot(name, Snapshot.unpack(blobs[name]))
        if loaded is not None:
            copy = loaded
            break
    for name in sorted(blobs):
        if name.kind == SEGMENT and name.last > copy.sequence:
            _apply_segment(copy, name, Segment.unpack(blobs[name]))
    copy.tail = JournalTail(copy.sequence, copy.digest)
    return copy


def _load_snapshot(name: BlobName, snapshot: Snapshot) -> JournalCopy | None:
    if state_digest(snapshot.state) != snapshot.state_digest:
        return None
    copy = JournalCopy()
    copy.state = unpack_state(snapshot.state)
    copy.sequence = name.last
    copy.digest = snapshot.digest
    return copy


def _apply_segment(copy: JournalCopy, name: BlobName, segment: Segment) -> None:
    """Apply the new entries of a segment if its digest chain continues this journal.

    A segment that a former owner wrote after a recovery has diverged from this journal, which the
    digests reveal.
    """
    if name.first > copy.sequence + 1:
        return
    skipped = copy.sequence - (name.first - 1)
    if not _continues_journal(segment, skipped, copy.digest):
        return
    for packed in segment.entries[skipped:]:
        copy.apply_packed(packed)


def _continues_journal(segment: Segment, skipped: int, digest: int) -> bool:
    digest_reached = segment.digest_before
    for packed in segment.entries[:skipped]:
        digest_reached = extend_digest(digest_reached, packed)
    return digest_reached == digest
