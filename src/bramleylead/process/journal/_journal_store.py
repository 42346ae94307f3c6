"""Journal segments and snapshots as objects in the store.

A segment or snapshot is one byte string, split into pieces that fit into an object. Its name
contains the epoch and the first and last sequence numbers. A retry after a lost reply therefore
writes the same value under the same key, and a previous owner can't overwrite the objects of a
later one.
"""

from __future__ import annotations

import re
from collections import defaultdict
from typing import NamedTuple

import msgpack
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._store import MAX_VALUE_BYTES
from bramleylead.platform._store import ObjectStore
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

KEY_PREFIX = "journal/"
MAX_PIECE_BYTES = MAX_VALUE_BYTES - 10_000
LIST_PAGE_SIZE = 500
SEGMENT = "segment"
SNAPSHOT = "snapshot"

_KEY = re.compile(r"^journal/\d+/(\d+)-(\d+)-(\d+)-(segment|snapshot)-(\d+)-of-(\d+)$")


class BlobName(NamedTuple):
    """Name of a segment or snapshot; sorts by epoch, then by position in the journal.

    :param first: first sequence number.
    :param last: last sequence number.
    """

    epoch: int
    first: int
    last: int
    kind: str

    def key(self, partition: int, piece_index: int, piece_count: int) -> str:
        """Return the key of one piece."""
        name = f"{self.epoch:08d}-{self.first:012d}-{self.last:012d}-{self.kind}"
        return f"{KEY_PREFIX}{partition:05d}/{name}-{piece_index:04d}-of-{piece_count:04d}"


class Segment(NamedTuple):
    """Journal entries in order, and the journal's digest before and after them."""

    digest_before: int
    digest_after: int
    entries: tuple[bytes, ...]

    def pack(self) -> bytes:
        """Return the segment as bytes."""
        return msgpack.packb([self.digest_before, self.digest_after, self.entries])

    @classmethod
    def unpack(cls, data: bytes) -> Segment:
        """Return the segment that :meth:`pack` packed."""
        before, after, entries = msgpack.unpackb(data)
        return cls(before, after, tuple(entries))


class Snapshot(NamedTuple):
    """A packed state, its digest, and the digest of the journal up to this state."""

    digest: int
    state_digest: int
    state: bytes

    def pack(self) -> bytes:
        """Return the snapshot as bytes."""
        return msgpack.packb(list(self))

    @classmethod
    def unpack(cls, data: bytes) -> Snapshot:
        """Return the snapshot that :meth:`pack` packed."""
        return cls(*msgpack.unpackb(data))


def split_into_pieces(data: bytes) -> list[bytes]:
    """Split a byte string into pieces that fit into an object."""
    return [
        data[start : start + MAX_PIECE_BYTES]
        for start in range(0, max(len(data), 1), MAX_PIECE_BYTES)
    ]


async def write_piece(store: ObjectStore, key: str, piece: bytes) -> Result[None, StoreError]:
    """Write one piece; the write is idempotent."""
    written = await store.put(key, piece)
    return written if isinstance(written, Err) else Ok(None)


async def delete_piece(store: ObjectStore, key: str) -> Result[None, StoreError]:
    """Delete one piece; a missing piece counts as deleted."""
    deleted = await store.delete(key)
    if isinstance(deleted, Err) and deleted.err_value.kind is not StoreErrorKind.NOT_FOUND:
        return deleted
    return Ok(None)


async def read_pieces(store: ObjectStore, partition: int) -> Result[dict[str, bytes], StoreError]:
    """Read all objects of a partition's journal, with one call per page."""
    prefix = f"{KEY_PREFIX}{partition:05d}/"
    found: dict[str, bytes] = {}
    after = ""
    while True:
        page = await store.list(prefix, after=after, limit=LIST_PAGE_SIZE)
        if isinstance(page, Err):
            return page
        found.update((item.key, item.value) for item in page.ok_value)
        if len(page.ok_value) < LIST_PAGE_SIZE:
            return Ok(found)
        after = page.ok_value[-1].key


def join_pieces(pieces: dict[str, bytes]) -> dict[BlobName, bytes]:
    """Return the segments and snapshots that have all their pieces."""
    pieces_by_name: dict[BlobName, dict[int, bytes]] = defaultdict(dict)
    piece_counts: dict[BlobName, int] = {}
    for key, value in pieces.items():
        match = _KEY.match(key)
        if match is None:
            continue
        epoch, first, last, kind, piece_index, piece_count = match.groups()
        name = BlobName(int(epoch), int(first), int(last), kind)
        pieces_by_name[name][int(piece_index)] = value
        piece_counts[name] = int(piece_count)
    return {
        name: b"".join(group[index] for index in sorted(group))
        for name, group in sorted(pieces_by_name.items())
        if len(group) == piece_counts[name]
    }
