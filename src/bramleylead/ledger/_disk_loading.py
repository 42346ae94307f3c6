"""Opens and loads a ledger node's disk, however long the operating system refuses it.

A disk that can't be read for a while still holds what the node has acknowledged. So the node waits
for it, as a node that is no member, and never takes it for an empty one.
"""

from __future__ import annotations

import errno
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.ledger._disk import FileDisk
from bramleylead.ledger._files import run_in_thread
from bramleylead.ledger._node import LedgerNode

FIRST_RETRY_S = 0.2
MAX_RETRY_S = 5.0
SILENT_DISK_S = 5.0
"""How long a disk may keep one try waiting before that is logged."""

_T = TypeVar("_T")

log = structlog.get_logger()


async def open_disk(folder: Path) -> FileDisk:
    """Return the disk in a folder, once the system lets it be opened."""
    return await retry_disk(lambda: run_in_thread(FileDisk, folder, abandon_on_cancel=True))


async def load_node(node: LedgerNode) -> None:
    """Load a node's view and records, once its disk can be read."""
    await retry_disk(node.load)


async def retry_disk(action: Callable[[], Awaitable[_T]]) -> _T:
    """Repeat what raises ``OSError``, ever more slowly; each try is logged and counted."""
    retry_s = FIRST_RETRY_S
    while True:
        tried = await _try(action)
        if isinstance(tried, Ok):
            return tried.ok_value
        error = tried.err_value
        log.error("disk_unreadable", kind=_name(error), reason=str(error), retry_s=retry_s)
        await anyio.sleep(retry_s)
        retry_s = min(2 * retry_s, MAX_RETRY_S)


async def _try(action: Callable[[], Awaitable[_T]]) -> Result[_T, OSError]:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_log_silence)
        try:
            return Ok(await action())
        except OSError as error:
            return Err(error)
        finally:
            tasks.cancel_scope.cancel()


async def _log_silence() -> None:
    started = anyio.current_time()
    while True:
        await anyio.sleep(SILENT_DISK_S)
        waited_s = round(anyio.current_time() - started, 1)
        log.error("disk_unreadable", kind="SILENT", reason="no answer yet", waited_s=waited_s)


def _name(error: OSError) -> str:
    return errno.errorcode.get(error.errno or 0, type(error).__name__)
