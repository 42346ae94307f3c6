"""The asyncio event loop of a process, with fewer system calls than the default one.

asyncio polls its sockets once per round of callbacks, also while callbacks are ready. A request
takes many short rounds, so most of these polls find nothing. The selector here answers them without
a system call, up to a limit that keeps sockets from waiting behind callbacks.
"""

from __future__ import annotations

import asyncio
import selectors

MAX_SKIPPED_POLLS = 8
"""Consecutive polls that may be skipped while callbacks are ready."""


class _FrugalSelector(selectors.EpollSelector):
    """An epoll selector that skips most polls without a wait."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped_polls = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; without a wait, return none unless many polls were skipped."""
        is_poll = timeout is not None and timeout <= 0
        if is_poll and self._skipped_polls < MAX_SKIPPED_POLLS:
            self._skipped_polls += 1
            return []
        self._skipped_polls = 0
        return super().select(timeout)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop, for anyio's option ``loop_factory``."""
    return asyncio.SelectorEventLoop(_FrugalSelector())
