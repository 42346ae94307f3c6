"""Keeps the tasks alive that a process needs for as long as it runs."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import structlog

RESTART_DELAY_S = 0.2

log = structlog.get_logger()


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; after an unexpected error, log it and start the task again.

    The metrics count each line by the task's name.

    :param name: the task's name in the log.
    """
    while True:
        try:
            await run()
        except Exception as error:
            log.exception("task_failed", task=name, reason=f"{type(error).__name__}: {error}")
            await anyio.sleep(RESTART_DELAY_S)
        else:
            return
