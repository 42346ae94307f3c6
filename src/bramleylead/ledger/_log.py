"""A node's records on disk: segments that are only appended to, one sync for many records.

Each start and each full segment begins a new file, so what a power loss tore is always at the end
of a file, and reading stops there. A file goes once none of its records is held any more.
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

import anyio
import anyio.to_thread
import structlog

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection import encode
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
    """Where a node of the ledger keeps its records. Errors of the disk are ``OSError``."""

    @property
    def name(self) -> str:
        """The name of the disk's content."""
        ...

    async def load(self) -> tuple[LedgerView, list[Record]]:
        """Return the view and the records on the disk."""
        ...

    async def write(self, records: list[Record]) -> None:
        """Write records; they are safe from a power loss once this returns."""
        ...

    async def write_view(self, view: LedgerView) -> None:
        """Replace the view; it is safe from a power loss once this returns."""
        ...

    async def drop_unheld(self, is_held: Callable[[Key], bool]) -> None:
        """Drop what holds no record that is still held."""
        ...


class _Segment(NamedTuple):
    path: Path
    keys: set[Key]


@final
class FileDisk:
    """A folder; one process at a time uses it."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._closed: list[_Segment] = []
        self._current: _Segment | None = None
        self._handle: int | None = None
        self._bytes = 0
        self._next = 1
        folder.mkdir(parents=True, exist_ok=True)
        self._name = self._read_name()

    @property
    def name(self) -> str:
        """The name of the disk's content: made when the folder was empty."""
        return self._name

    async def load(self) -> tuple[LedgerView, list[Record]]:
        """Read the view and all whole records."""
        return await anyio.to_thread.run_sync(self._load)

    async def write(self, records: list[Record]) -> None:
        """Append records and sync them."""
        await anyio.to_thread.run_sync(self._append, records)

    async def write_view(self, view: LedgerView) -> None:
        """Replace the file with the view."""
        text = json.dumps(view_to_plain(view)).encode()
        await anyio.to_thread.run_sync(self._replace, "view.json", text)

    async def drop_unheld(self, is_held: Callable[[Key], bool]) -> None:
        """Remove the files without a record that is still held."""
        old = [segment for segment in self._closed if not any(map(is_held, segment.keys))]
        for segment in old:
            self._closed.remove(segment)
            await anyio.to_thread.run_sync(segment.path.unlink)
            log.info("segment_dropped", file=segment.path.name, records=len(segment.keys))

    def _read_name(self) -> str:
        path = self._folder / "disk"
        if path.exists():
            return path.read_text()
        self._replace("disk", secrets.token_hex(DISK_NAME_BYTES).encode())
        return path.read_text()

    def _load(self) -> tuple[LedgerView, list[Record]]:
        records: list[Record] = []
        paths = sorted(self._folder.glob(f"*{SEGMENT_SUFFIX}"))
        for path in paths:
            found = list(_read_segment(path))
            records += found
            self._closed.append(_Segment(path, {key_of(record) for record in found}))
        if paths:
            self._next = int(paths[-1].name.removesuffix(SEGMENT_SUFFIX)) + 1
        return self._load_view(), records

    def _load_view(self) -> LedgerView:
        path = self._folder / "view.json"
        if not path.exists():
            return NO_VIEW
        return view_from_plain(json.loads(path.read_bytes()))

    def _append(self, records: list[Record]) -> None:
        if self._handle is None or self._bytes > SEGMENT_BYTES:
            self._open_next()
        assert self._handle is not None and self._current is not None
        data = b"".join(_framed(encode(record)) for record in records)
        try:
            _write_all(self._handle, data)
            os.fdatasync(self._handle)
        except OSError:
            # What reached the file is unknown: the next records go to a new one.
            self._close_current()
            raise
        self._bytes += len(data)
        self._current.keys.update(key_of(record) for record in records)

    def _open_next(self) -> None:
        self._close_current()
        path = self._folder / f"{self._next:010d}{SEGMENT_SUFFIX}"
        self._next += 1
        self._handle = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND, 0o644)
        self._current = _Segment(path, set())
        self._bytes = 0
        self._sync_folder()

    def _close_current(self) -> None:
        if self._handle is not None and self._current is not None:
            os.close(self._handle)
            self._closed.append(self._current)
        self._handle = None
        self._current = None

    def _replace(self, name: str, data: bytes) -> None:
        fresh = self._folder / f"{name}.new"
        handle = os.open(fresh, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o644)
        try:
            _write_all(handle, data)
            os.fsync(handle)
        finally:
            os.close(handle)
        fresh.rename(self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        handle = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def _write_all(handle: int, data: bytes) -> None:
    left = memoryview(data)
    while left:
        left = left[os.write(handle, left) :]


def _framed(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


def _read_segment(path: Path) -> Iterator[Record]:
    """Yield the whole records of a file; stops at the first one that a power loss tore."""
    data = path.read_bytes()
    at = 0
    while at + HEADER_BYTES <= len(data):
        length = int.from_bytes(data[at : at + 4], "big")
        check = int.from_bytes(data[at + 4 : at + 8], "big")
        body = data[at + HEADER_BYTES : at + HEADER_BYTES + length]
        if len(body) < length or zlib.crc32(body) != check:
            break
        try:
            yield decode(body)
        except MessageError as error:
            log.error("record_unreadable", file=path.name, at=at, reason=str(error))
            break
        at += HEADER_BYTES + length
    if at < len(data):
        log.warning("segment_torn", file=path.name, whole_bytes=at, bytes=len(data))
