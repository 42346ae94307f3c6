"""A node's records on disk: append-only segment files, with one sync per batch of records.

A new file is started when the node starts and when a segment is full. A record torn by a power loss
is therefore always at the end of a file, and reading stops there. A file is deleted once the node
holds none of its records any more.

The disk's name identifies its content. Where the name or the view is damaged, or a folder lies in
the place of a segment, the disk gets another name and no view, so that its node counts as one that
lost its disk. The records that are read are kept: each has a checksum.
"""

from __future__ import annotations

import json
import os
import re
import secrets
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple
from typing import Protocol
from typing import final

import structlog

from bramleylead.ledger._files import make_folder
from bramleylead.ledger._files import read_file
from bramleylead.ledger._files import replace_file
from bramleylead.ledger._files import run_in_thread
from bramleylead.ledger._files import set_aside
from bramleylead.ledger._files import sync_folder
from bramleylead.ledger._files import write_all
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._members import view_from_plain
from bramleylead.ledger._members import view_to_plain
from bramleylead.ledger._records import Key
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import key_of
from bramleylead.ledger._segments import frame_record
from bramleylead.ledger._segments import read_segment

SEGMENT_BYTES = 4_000_000
SEGMENT_SUFFIX = ".segment"
DISK_NAME_BYTES = 8
DISK_NAME = re.compile(rb"[0-9a-f]{%d}" % (2 * DISK_NAME_BYTES))
SEGMENT_NAME = re.compile(rf"[0-9]{{1,18}}{re.escape(SEGMENT_SUFFIX)}")
LOGGED_BYTES = 60
LOGGED_FILES = 10

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
        """Read the view and all intact records; the disk can't be used if this is cancelled."""
        return await run_in_thread(self._load, abandon_on_cancel=True)

    async def write(self, records: list[Record]) -> None:
        """Append records and sync them."""
        await run_in_thread(self._append, records)

    async def write_view(self, view: LedgerView) -> None:
        """Replace the file that contains the view."""
        text = json.dumps(view_to_plain(view)).encode()
        await run_in_thread(replace_file, self._folder / "view.json", text)

    async def delete_expired(self, is_held: Callable[[Key], bool]) -> None:
        """Delete the segment files of which no record is held; one that fails is tried again."""
        expired = [
            segment for segment in self._closed_segments if not any(map(is_held, segment.keys))
        ]
        failed: OSError | None = None
        for segment in expired:
            try:
                await run_in_thread(_delete_file, segment.path)
            except OSError as error:
                failed = error
                continue
            self._closed_segments.remove(segment)
            log.info("segment_dropped", file=segment.path.name, records=len(segment.keys))
        if failed is not None:
            raise failed

    def _load_or_create_name(self) -> str:
        content = read_file(self._folder / "disk")
        if content is not None and DISK_NAME.fullmatch(content):
            return content.decode()
        if content is not None:
            log.error("disk_damaged", file="disk", content=repr(content[:LOGGED_BYTES]))
        return self._create_name()

    def _create_name(self) -> str:
        """Give the disk another name, durably, and only then set the view aside."""
        path = self._folder / "disk"
        name = secrets.token_hex(DISK_NAME_BYTES)
        if path.is_dir():
            set_aside(path)
        replace_file(path, name.encode())
        set_aside(self._folder / "view.json")
        return name

    def _load(self) -> tuple[LedgerView, list[Record]]:
        records: list[Record] = []
        view = self._load_view()
        self._closed_segments = []
        for path in self._segment_paths():
            if path.is_dir():
                log.error("disk_damaged", file=path.name, content="a folder")
                view = self._drop_view()
                set_aside(path)
                continue
            found = list(read_segment(path))
            records += found
            self._closed_segments.append(_Segment(path, {key_of(record) for record in found}))
        return view, records

    def _segment_paths(self) -> list[Path]:
        """Return the paths with a segment's name, oldest first."""
        names = sorted(path.name for path in self._folder.iterdir())
        numbers = {
            int(name.removesuffix(SEGMENT_SUFFIX)): name
            for name in names
            if SEGMENT_NAME.fullmatch(name)
        }
        foreign = [name for name in names if name.endswith(SEGMENT_SUFFIX)]
        foreign = [name for name in foreign if name not in numbers.values()]
        if foreign:
            log.warning("files_ignored", files=foreign[:LOGGED_FILES], count=len(foreign))
        self._next_number = max(numbers, default=0) + 1
        return [self._folder / numbers[number] for number in sorted(numbers)]

    def _load_view(self) -> LedgerView:
        content = read_file(self._folder / "view.json")
        if content is None:
            return NO_VIEW
        try:
            return view_from_plain(json.loads(content))
        except (ValueError, RecursionError) as error:
            damage = repr(content[:LOGGED_BYTES])
            log.error("disk_damaged", file="view.json", content=damage, reason=str(error))
            return self._drop_view()

    def _drop_view(self) -> LedgerView:
        self._name = self._create_name()
        return NO_VIEW

    def _append(self, records: list[Record]) -> None:
        data = b"".join(map(frame_record, records))
        try:
            self._append_bytes(data)
        except BaseException:
            # It is unknown how much reached the file, so the next records go to a new one.
            self._abandon_current_segment()
            raise
        assert self._current_segment is not None
        self._current_bytes += len(data)
        self._current_segment.keys.update(map(key_of, records))

    def _append_bytes(self, data: bytes) -> None:
        if self._handle is None or self._current_bytes > SEGMENT_BYTES:
            self._close_current_segment()
            self._open_next_segment()
        assert self._handle is not None
        write_all(self._handle, data)
        os.fdatasync(self._handle)

    def _open_next_segment(self) -> None:
        path = self._folder / f"{self._next_number:010d}{SEGMENT_SUFFIX}"
        self._next_number += 1
        self._handle = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY | os.O_APPEND, 0o644)
        self._current_segment = _Segment(path, set())
        self._current_bytes = 0
        sync_folder(self._folder)

    def _close_current_segment(self) -> None:
        handle, self._handle = self._handle, None
        segment, self._current_segment = self._current_segment, None
        if segment is not None:
            self._closed_segments.append(segment)
        if handle is not None:
            with suppress(OSError):
                os.close(handle)

    def _abandon_current_segment(self) -> None:
        """Close the segment, and delete it if nothing in it has been acknowledged."""
        segment = self._current_segment
        self._close_current_segment()
        if segment is not None and not segment.keys:
            with suppress(OSError):
                segment.path.unlink()
                self._closed_segments.remove(segment)


def _delete_file(path: Path) -> None:
    path.unlink(missing_ok=True)
