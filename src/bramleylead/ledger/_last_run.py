"""How the last run of a ledger node ended, told by the next one.

A small file on the node's disk says that a run has begun, and, where it ended by itself, how. A run
that was killed, or whose VM lost power, can't say so: its file still says that it is running.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Literal
from typing import Self
from typing import TypeVar
from typing import final

import anyio
import anyio.to_thread
import msgspec
import structlog

import bramleylead
from bramleylead.ledger._files import read_file
from bramleylead.ledger._files import replace_file

FILE_NAME = "run.json"
RUN_ID_BYTES = 6
BEGIN_TIMEOUT_S = 2.0
END_TIMEOUT_S = 0.5
MAX_REASON_CHARACTERS = 300
UNKNOWN_REASON = "killed or power lost"

_T = TypeVar("_T")

log = structlog.get_logger()


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of one run.

    :param started_at: seconds since 1970.
    :param ran_s: how long it ran, once it has ended.
    """

    run: str
    version: str
    started_at: float
    state: Literal["running", "stopped", "failed"] = "running"
    reason: str = ""
    ran_s: float | None = None


@final
class RunRecord:
    """Records this run, from :meth:`begin` to the end of the context; no error of it is raised.

    :param folder: the disk's folder.
    """

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._run: Run | None = None
        self._began_at = 0.0

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._run is None:
            return
        ended = {
            "state": "stopped" if error is None else "failed",
            "reason": "" if error is None else _describe(error),
            "ran_s": round(anyio.current_time() - self._began_at, 3),
        }
        await self._write(msgspec.structs.replace(self._run, **ended), timeout_s=END_TIMEOUT_S)

    async def begin(self) -> None:
        """Log how the run before ended, and record that this one runs; needs the folder."""
        last = await _within(BEGIN_TIMEOUT_S, lambda: _in_thread(_read, self._path))
        if last is not None:
            _log_end(last)
        self._began_at = anyio.current_time()
        run_id = secrets.token_hex(RUN_ID_BYTES)
        self._run = Run(run=run_id, version=bramleylead.__version__, started_at=time.time())
        await self._write(self._run, timeout_s=BEGIN_TIMEOUT_S)

    async def _write(self, run: Run, *, timeout_s: float) -> None:
        data = msgspec.json.encode(run)
        await _within(timeout_s, lambda: _in_thread(replace_file, self._path, data))


async def _within(timeout_s: float, action: Callable[[], Awaitable[_T]]) -> _T | None:
    """Run an action on the disk, which may fail; returns without it if the disk hangs."""
    with anyio.move_on_after(timeout_s, shield=True):
        try:
            return await action()
        except Exception as error:
            log.error("run_not_recorded", reason=f"{type(error).__name__}: {error}")
            return None
    log.error("run_not_recorded", reason=f"no answer of the disk within {timeout_s} s")
    return None


async def _in_thread(function: Callable[..., _T], *arguments: object) -> _T:
    return await anyio.to_thread.run_sync(function, *arguments, abandon_on_cancel=True)


def _read(path: Path) -> Run | None:
    content = read_file(path)
    if content is None:
        return None
    try:
        return msgspec.json.decode(content, type=Run)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Run(run="", version="", started_at=0.0)


def _log_end(last: Run) -> None:
    is_known = last.state != "running"
    log.info(
        "last_run_ended",
        kind=last.state if is_known else "unknown",
        reason=last.reason if is_known else UNKNOWN_REASON,
        run=last.run,
        version=last.version,
        started_s_ago=round(time.time() - last.started_at, 1) if last.started_at else None,
        ran_s=last.ran_s,
    )


def _describe(error: BaseException) -> str:
    """Return the first error of a group, or an error itself, in few words."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__}: {error}"[:MAX_REASON_CHARACTERS]
