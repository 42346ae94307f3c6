"""An embedded object store in a folder, for a single machine; it survives restarts.

Each object is one file, replaced atomically: a temporary file is written, synced and renamed. A
deletion leaves a file without a value, so that revisions never decrease and a watch can continue
after a restart.
"""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import IO
from typing import final
from urllib.parse import quote

import anyio
import anyio.to_thread
import msgpack
from result import Err
from result import Result

from bramleylead.platform._memory import MemoryStore
from bramleylead.platform._store import ANY_VERSION
from bramleylead.platform._store import Change
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.platform._store import VmEntry
from bramleylead.platform._store import WatchPage

OBJECTS = "objects"
VMS_FILE = "vms.json"
LOCK_FILE = "lock"
PARTIAL_SUFFIX = ".partial"
MAX_NAME_BYTES = 240


@final
class FolderStore:
    """Keeps objects in memory, and writes each change to the folder before it returns.

    Use :func:`open_folder`, which holds the folder's lock.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._objects_folder = folder / OBJECTS
        self._write_lock = anyio.Lock()
        self._memory = MemoryStore(_read_changes(self._objects_folder))
        for entry in _read_vms(folder / VMS_FILE):
            self._memory.set_vm(entry)

    async def set_vm(self, entry: VmEntry) -> None:
        """Add or replace an entry of the list of VMs."""
        self._memory.set_vm(entry)
        await self._write_vms()

    async def remove_vm(self, node: str) -> None:
        """Remove an entry of the list of VMs."""
        self._memory.remove_vm(node)
        await self._write_vms()

    async def get(self, key: str, *, timeout_s: float = 2.0) -> Result[StoredObject, StoreError]:
        """Read one object."""
        return await self._memory.get(key)

    async def put(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[int, StoreError]:
        """Write one object if its version is ``expected``."""
        path = self._path(key)
        if path is None:
            detail = f"{key}: the quoted key exceeds {MAX_NAME_BYTES} bytes"
            return Err(StoreError(StoreErrorKind.TOO_LARGE, detail))
        async with self._write_lock:
            checked = self._memory.check_put(key, value, expected=expected)
            if isinstance(checked, Err):
                return checked
            with anyio.CancelScope(shield=True):
                await self._write(path, self._memory.next_change(key, value))
                return self._memory.put_now(key, value, expected=expected)

    async def delete(
        self, key: str, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[None, StoreError]:
        """Delete one object if its version is ``expected``."""
        async with self._write_lock:
            checked = self._memory.check_delete(key, expected=expected)
            path = self._path(key)
            if isinstance(checked, Err) or path is None:
                return checked
            with anyio.CancelScope(shield=True):
                await self._write(path, self._memory.next_change(key, None))
                return self._memory.delete_now(key, expected=expected)

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500, timeout_s: float = 2.0
    ) -> Result[Sequence[StoredObject], StoreError]:
        """Read up to ``limit`` objects under ``prefix``."""
        return await self._memory.list(prefix, after=after, limit=limit)

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait for changes under ``prefix``."""
        return await self._memory.watch(prefix, after_revision=after_revision, timeout_s=timeout_s)

    async def vms(self, *, timeout_s: float = 2.0) -> Result[Sequence[VmEntry], StoreError]:
        """Read the list of VMs."""
        return await self._memory.vms()

    def _path(self, key: str) -> Path | None:
        name = quote(key, safe="")
        if len(name) > MAX_NAME_BYTES:
            return None
        return self._objects_folder / f"k{name}"

    async def _write(self, path: Path, change: Change) -> None:
        await anyio.to_thread.run_sync(_replace_file, path, msgpack.packb(list(change)))

    async def _write_vms(self) -> None:
        entries = (await self._memory.vms()).unwrap()
        text = json.dumps([entry._asdict() for entry in entries], indent=2).encode()
        async with self._write_lock:
            await anyio.to_thread.run_sync(_replace_file, self._folder / VMS_FILE, text)


@asynccontextmanager
async def open_folder(folder: Path) -> AsyncIterator[FolderStore]:
    """Open a store in a folder, which one process at a time may use.

    :raises ValueError: if another process has it open, or a file in it is damaged.
    :raises OSError: if the folder can't be written.
    """
    await anyio.to_thread.run_sync(_make_folder, folder / OBJECTS)
    lock = await anyio.to_thread.run_sync(_lock, folder / LOCK_FILE)
    try:
        yield await anyio.to_thread.run_sync(FolderStore, folder)
    finally:
        lock.close()


def _make_folder(folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)


def _lock(path: Path) -> IO[bytes]:
    file = path.open("ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        file.close()
        raise ValueError(f"{path.parent}: another process has this store open") from error
    return file


def _read_changes(folder: Path) -> list[Change]:
    found = []
    for path in sorted(folder.iterdir()):
        if path.name.endswith(PARTIAL_SUFFIX):
            path.unlink()
            continue
        try:
            key, value, version, revision = msgpack.unpackb(path.read_bytes())
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            raise ValueError(f"{path}: damaged object: {error}") from error
        found.append(Change(key, value, version, revision))
    return found


def _read_vms(path: Path) -> list[VmEntry]:
    if not path.exists():
        return []
    try:
        return [VmEntry(**entry) for entry in json.loads(path.read_text())]
    except (TypeError, ValueError) as error:
        raise ValueError(f"{path}: invalid list of VMs: {error}") from error


def _replace_file(path: Path, data: bytes) -> None:
    partial = path.with_name(path.name + PARTIAL_SUFFIX)
    with partial.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    partial.replace(path)
    _sync_folder(path.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
