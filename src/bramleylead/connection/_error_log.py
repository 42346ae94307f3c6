"""Logs errors that the system returns, however many, in few lines."""

from __future__ import annotations

from typing import final

import anyio
import structlog

LOG_INTERVAL_S = 10.0

log = structlog.get_logger()


@final
class ErrorLog:
    """Counts errors by kind, and logs each kind at most once in ``LOG_INTERVAL_S``.

    :param event: the event of the lines.
    """

    def __init__(self, event: str) -> None:
        self._event = event
        self._last_logged: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def record(self, kind: str, **fields: str) -> None:
        """Count an error, and log how many there were since the last line of this kind.

        :param kind: the symbol of the error, such as ``EMFILE``.
        """
        self._unlogged[kind] = self._unlogged.get(kind, 0) + 1
        now = anyio.current_time()
        if now - self._last_logged.get(kind, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return
        self._last_logged[kind] = now
        log.warning(self._event, kind=kind, failures=self._unlogged.pop(kind), **fields)
