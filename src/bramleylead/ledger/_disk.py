"""A node's records on disk: append-only segment files, with one sync per batch of records.

A new file is started when the node starts and when a segment is full. A record torn by a power loss
is therefore always at the end of a file, and reading stops there. A file is deleted once the node
holds none of its records any more.
"""

from __future__ import annotations

import json
import os
import secrets
import zlib
from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple
from typing import Protocol
from typing import final

import structlog

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.ledger._files import make_folder
from bramleylead.ledger._files import read_file
from bramleylead.ledger._files import replace_file
from bramleylead.ledger._files import run_in_thread
from bramleylead.ledger._files import sync_folder
from bramleylead.ledger._files import write_all
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._members import view_from_plain
from bramleylead.ledger._members import view_to_plain
from bramleylead.ledger._records import Key
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import key_of

HEADER_BYTES = 8
SEGMENT_BYTES = 4_000_000
SEGMENT_SUFFIX = ".segment"
DISK_NAME_BYTES = 8

log = structlog.get_logger()


class Disk(Protocol):
    """Persistent storage of a ledger node. Methods raise ``OSError`` if the disk fails."""

    @property
    def name(self) -> str:
        """The identifier of the disk's content."""
        ...

    async def load(self) -> tuple[LedgerView, list[Record]]:
        """Return the view and the records on the disk."""
        ...

    async def write(self, records: list[Record]) -> None:
        """Write records; they survive a power loss once this returns."""
        ...

    async def write_view(self, view: LedgerView) -> None:
        """Replace the view; it survives a power loss once this returns."""
        ...

    async def delete_expired(self, is_held: Callable[[Key], bool]) -> None:
        """Delete stored data once the node holds none of its records."""
        ...


class _Segment(NamedTuple):
    path: Path
    keys: set[Key]


@final
class FileDisk:
    """Stores records and the view in a folder, which one process at a time may use."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._closed_segments: list[_Segment] = []
        self._current_segment: _Segment | None = None
        self._handle: int | None = None
        self._current_bytes = 0
        self._next_number = 1
        make_folder(folder)
        self._name = self._load_or_create_name()

    @property
    def name(self) -> str:
        """The identifier of the disk's content, generated when the folder was empty."""
        return self._name

    async def load(self) -> tuple[LedgerView, list[Record]]:
        """Read the view and all intact records."""
        return await run_in_thread(self._load)

    async def write(self, records: list[Record]) -> None:
        """Append records and sync them."""
        await run_in_thread(self._append, records)

    async def write_view(self, view: LedgerView) -> None:
        """Replace the file that contains the view."""
        text = json.dumps(view_to_plain(view)).encode()
        await run_in_thread(replace_file, self._folder / "view.json", text)

    async def delete_expired(self, is_held: Callable[[Key], bool]) -> None:
        """Delete the segment files of which no record is held."""
        expired = [
            segment for segment in self._closed_segments if not any(map(is_held, segment.keys))
        ]
        for segment in expired:
            self._closed_segments.remove(segment)
            await run_in_thread(segment.path.unlink)
            log.info("segment_dropped", file=segment.path.name, records=len(segment.keys))

    def _load_or_create_name(self) -> str:
        path = self._folder / "disk"
        content = read_file(path)
        if content is not None:
            return content.decode()
        name = secrets.token_hex(DISK_NAME_BYTES)
        replace_file(path, name.encode())
        return name

    def _load(self) -> tuple[LedgerView, list[Record]]:
        records: list[Record] = []
        self._closed_segments = []
        paths = sorted(self._folder.glob(f"*{SEGMENT_SUFFIX}"))
        for path in paths:
            found = list(_read_segment(path))
            records += found
            self._closed_segments.append(_Segment(path, {key_of(record) for record in found}))
        if paths:
            self._next_number = int(paths[-1].name.removesuffix(SEGMENT_SUFFIX)) + 1
        return self._load_view(), records

    def _load_view(self) -> LedgerView:
        path = self._folder / "view.json"
        if not path.exists():
            return NO_VIEW
        return view_from_plain(json.loads(path.read_bytes()))

    def _append(self, records: list[Record]) -> None:
        if self._handle is None or self._current_bytes > SEGMENT_BYTES:
            self._open_next_segment()
        assert self._handle is not None and self._current_segment is not None
        data = b"".join(_frame_record(encode(record)) for record in records)
        try:
            write_all(self._handle, data)
            os.fdatasync(self._handle)
        except OSError:
            # It is unknown how much reached the file, so the next records go to a new one.
            self._close_current_segment()
            raise
        self._current_bytes += len(data)
        self._current_segment.keys.update(key_of(record) for record in records)

    def _open_next_segment(self) -> None:
        self._close_current_segment()
        path = self._folder / f"{self._next_number:010d}{SEGMENT_SUFFIX}"
        self._next_number += 1
        self._handle = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o644)
        self._current_segment = _Segment(path, set())
        self._current_bytes = 0
        sync_folder(self._folder)

    def _close_current_segment(self) -> None:
        if self._handle is not None and self._current_segment is not None:
            os.close(self._handle)
            self._closed_segments.append(self._current_segment)
        self._handle = None
        self._current_segment = None


def _frame_record(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


def _read_segment(path: Path) -> Iterator[Record]:
    """Yield the intact records of a file, up to the first one torn by a power loss."""
    data = path.read_bytes()
    offset = 0
    while offset + HEADER_BYTES <= len(data):
        length = int.from_bytes(data[offset : offset + 4], "big")
        checksum = int.from_bytes(data[offset + 4 : offset + 8], "big")
        body = data[offset + HEADER_BYTES : offset + HEADER_BYTES + length]
        if len(body) < length or zlib.crc32(body) != checksum:
            break
        try:
            yield decode(body)
        except MessageError as error:
            log.error("record_unreadable", file=path.name, at=offset, reason=str(error))
            break
        offset += HEADER_BYTES + length
    if offset < len(data):
        log.warning("segment_torn", file=path.name, whole_bytes=offset, bytes=len(data))
