"""Files that survive a power loss: replaced whole, and synced together with their folder."""

from __future__ import annotations

import errno
import os
import shutil
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio.to_thread
import structlog

UNUSABLE_SUFFIX = ".unusable"
NEW_SUFFIX = ".new"

_T = TypeVar("_T")

log = structlog.get_logger()


async def run_in_thread(
    function: Callable[..., _T], *arguments: object, abandon_on_cancel: bool = False
) -> _T:
    """Run a function on a thread that may wait for the disk.

    :param abandon_on_cancel: whether a cancelled call leaves the thread to itself; else it waits.
    :raises OSError: if it does, or if the system has no thread or memory for it.
    """
    try:
        return await anyio.to_thread.run_sync(
            function, *arguments, abandon_on_cancel=abandon_on_cancel
        )
    except MemoryError as error:
        raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM)) from error
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from error


def make_folder(folder: Path) -> None:
    """Create a folder and those above it, unless it exists."""
    if folder.is_dir():
        return
    make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    sync_folder(folder.parent)


def read_file(path: Path) -> bytes | None:
    """Return a file's content, empty if it is a folder; ``None`` if there is none."""
    try:
        return path.read_bytes()
    except FileNotFoundError:
        return None
    except IsADirectoryError:
        return b""


def replace_file(path: Path, data: bytes) -> None:
    """Write a file; after a power loss it has the old or the new content."""
    new_path = path.with_name(path.name + NEW_SUFFIX)
    handle = os.open(new_path, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o644)
    try:
        write_all(handle, data)
        os.fsync(handle)
    finally:
        os.close(handle)
    new_path.rename(path)
    sync_folder(path.parent)


def set_aside(path: Path) -> None:
    """Rename what can't be used, in place of what was set aside before; it may be missing."""
    aside = path.with_name(path.name + UNUSABLE_SUFFIX)
    try:
        if path.is_dir() or aside.is_dir():
            _remove(aside)
        path.rename(aside)
        sync_folder(path.parent)
    except FileNotFoundError:
        return
    except OSError as error:
        log.error("file_not_set_aside", file=path.name, reason=str(error))
    else:
        log.warning("file_set_aside", file=path.name)


def _remove(path: Path) -> None:
    """Remove a file, or a folder with all that it holds; it may be missing."""
    if path.is_dir():
        shutil.rmtree(path)
    else:
        path.unlink(missing_ok=True)


def sync_folder(folder: Path) -> None:
    """Make the names of files in a folder survive a power loss."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_all(handle: int, data: bytes) -> None:
    """Write all of the data, in as many pieces as it takes."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(handle, remaining) :]
