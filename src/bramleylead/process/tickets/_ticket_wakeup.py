"""Waits for a change of the tickets in the store, as a wake-up only.

A watch may be late or miss a change, so it is no proof: the caller reads the next ticket's key
after each wait.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import anyio
from result import Err

from bramleylead.process.tickets._ticket_store import TicketStore
from bramleylead.process.tickets._ticket_store import number_of

RETRY_S = 0.5


@final
class TicketWakeup:
    """A watch that resumes from the last revision seen.

    :param learn: called with the number and body of each changed ticket.
    :param wait_s: longest wait.
    """

    def __init__(
        self, store: TicketStore, learn: Callable[[int, bytes], None], *, wait_s: float
    ) -> None:
        self._store = store
        self._learn = learn
        self._wait_s = wait_s
        self._revision: int | None = None

    async def wait(self) -> None:
        """Wait until a ticket's object has changed or the wait times out."""
        if self._revision is None:
            self._revision = await self._store.current_revision()
        if self._revision is None:
            await anyio.sleep(RETRY_S)
            return
        await self._watch(self._revision)

    async def _watch(self, revision: int) -> None:
        started = anyio.current_time()
        result = await self._store.watch(after_revision=revision, timeout_s=self._wait_s)
        if isinstance(result, Err):
            self._revision = None
            await anyio.sleep(RETRY_S)
            return
        page = result.ok_value
        self._revision = page.revision
        for change in page.changes:
            number = number_of(change.key)
            if number is not None and change.value is not None:
                self._learn(number, change.value)
        if not page.changes and anyio.current_time() - started < self._wait_s / 2:
            await anyio.sleep(self._wait_s / 2)  # avoids a busy loop if a watch returns at once
