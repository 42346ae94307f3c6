"""Journal segments and snapshots as objects in the store.

A segment or snapshot is one byte string, cut into pieces that fit an object. Its name holds epoch,
first and last sequence number, so that a retry after a lost reply writes the same value under the
same key, and a former owner can't overwrite what a later one wrote.
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

PREFIX = "journal/"
PIECE_BYTES = MAX_VALUE_BYTES - 10_000
LIST_PAGE = 500
SEGMENT = "segment"
SNAPSHOT = "snapshot"

_KEY = re.compile(r"^journal/\d+/(\d+)-(\d+)-(\d+)-(segment|snapshot)-(\d+)-of-(\d+)$")


class BlobName(NamedTuple):
    """What a segment or snapshot holds; sorts by epoch, then by place in the journal."""

    epoch: int
    first: int
    last: int
    kind: str

    def key(self, partition: int, piece: int, count: int) -> str:
        """Return the key of one piece."""
        place = f"{self.epoch:08d}-{self.first:012d}-{self.last:012d}-{self.kind}"
        return f"{PREFIX}{partition:05d}/{place}-{piece:04d}-of-{count:04d}"


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
        """Return the segment that the bytes stand for."""
        before, after, entries = msgpack.unpackb(data)
        return cls(before, after, tuple(entries))


class Snapshot(NamedTuple):
    """A packed state, its digest, and the journal's digest at this place."""

    digest: int
    state_digest: int
    state: bytes

    def pack(self) -> bytes:
        """Return the snapshot as bytes."""
        return msgpack.packb(list(self))

    @classmethod
    def unpack(cls, data: bytes) -> Snapshot:
        """Return the snapshot that the bytes stand for."""
        return cls(*msgpack.unpackb(data))


def pieces_of(data: bytes) -> list[bytes]:
    """Cut a byte string into pieces that fit an object."""
    return [data[at : at + PIECE_BYTES] for at in range(0, max(len(data), 1), PIECE_BYTES)]


async def write_piece(store: ObjectStore, key: str, piece: bytes) -> Result[None, StoreError]:
    """Write one piece; writing it again is harmless."""
    written = await store.put(key, piece)
    return written if isinstance(written, Err) else Ok(None)


async def delete_piece(store: ObjectStore, key: str) -> Result[None, StoreError]:
    """Delete one piece; an absent one counts as deleted."""
    deleted = await store.delete(key)
    if isinstance(deleted, Err) and deleted.err_value.kind is not StoreErrorKind.NOT_FOUND:
        return deleted
    return Ok(None)


async def read_pieces(store: ObjectStore, partition: int) -> Result[dict[str, bytes], StoreError]:
    """Read everything that the store holds of a partition's journal, one call a page."""
    prefix = f"{PREFIX}{partition:05d}/"
    found: dict[str, bytes] = {}
    after = ""
    while True:
        page = await store.list(prefix, after=after, limit=LIST_PAGE)
        if isinstance(page, Err):
            return page
        found.update((item.key, item.value) for item in page.ok_value)
        if len(page.ok_value) < LIST_PAGE:
            return Ok(found)
        after = page.ok_value[-1].key


def join_pieces(pieces: dict[str, bytes]) -> dict[BlobName, bytes]:
    """Return the segments and snapshots of which every piece is there."""
    groups: dict[BlobName, dict[int, bytes]] = defaultdict(dict)
    counts: dict[BlobName, int] = {}
    for key, value in pieces.items():
        match = _KEY.match(key)
        if match is None:
            continue
        epoch, first, last, kind, piece, count = match.groups()
        name = BlobName(int(epoch), int(first), int(last), kind)
        groups[name][int(piece)] = value
        counts[name] = int(count)
    return {
        name: b"".join(group[at] for at in sorted(group))
        for name, group in sorted(groups.items())
        if len(group) == counts[name]
    }
