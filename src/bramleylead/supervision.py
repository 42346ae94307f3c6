"""Keeps the tasks alive that a process needs for as long as it runs."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TypeVarTuple
from typing import final

import anyio
import structlog
from anyio.abc import TaskStatus

RESTART_DELAY_S = 0.2

log = structlog.get_logger()

_Arguments = TypeVarTuple("_Arguments")


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; after an unexpected error, log it and start the task again.

    The metrics count each line by the task's name.

    :param name: the task's name in the log.
    """
    while True:
        try:
            await run()
        except Exception as error:
            await _log_and_pause(name, error)
        else:
            return


async def supervise_server(
    name: str,
    serve: Callable[..., Awaitable[None]],
    *arguments: Any,
    task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Run a server until it returns; after an unexpected error, log it and start it again.

    An error before its first start is raised: only other settings cure it.

    :param serve: takes ``arguments`` and ``task_status``.
    """
    start = _FirstStart(task_status)
    while True:
        try:
            await serve(*arguments, task_status=start)
        except Exception as error:
            if not start.has_started:
                raise
            await _log_and_pause(name, error)
        else:
            return


async def contain(
    name: str,
    run: Callable[[*_Arguments], Awaitable[object]],
    *arguments: *_Arguments,
) -> None:
    """Run a task once; an unexpected error is logged and ends this task only."""
    try:
        await run(*arguments)
    except Exception as error:
        _log_failure(name, error)


@final
class _FirstStart(TaskStatus[str]):
    """Passes on that a server has started, once."""

    def __init__(self, task_status: TaskStatus[str]) -> None:
        self._task_status = task_status
        self.has_started = False

    def started(self, value: str | None = None) -> None:
        """Note a start."""
        if not self.has_started:
            self.has_started = True
            self._task_status.started(value)


async def _log_and_pause(name: str, error: Exception) -> None:
    _log_failure(name, error)
    await anyio.sleep(RESTART_DELAY_S)


def _log_failure(name: str, error: Exception) -> None:
    log.exception("task_failed", task=name, reason=f"{type(error).__name__}: {error}")
