"""Writes log lines from a bounded buffer on a thread of its own.

The event loop only appends. When nobody reads the stream, the thread waits and lines are dropped;
how many is said in the log itself. A kind of line that comes too often is dropped as well.
"""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from collections import deque
from types import TracebackType
from typing import Any
from typing import Self
from typing import TextIO
from typing import final

import structlog

BUFFER_LINES = 20_000
FLUSH_INTERVAL_S = 0.1
LINES_PER_KIND_PER_S = 2_000
CLOSE_TIMEOUT_S = 1.0
WHOLE_WRITE_CHARACTERS = 4_000
"""What a pipe takes in one piece, so that lines of several processes do not mix."""


@final
class LogWriter:
    """The buffer and its thread; leaving the context writes what is left, if somebody reads.

    :param stream: where lines go.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._closed = False
        self._dropped = 0
        self._kinds: Counter[str] = Counter()
        self._kinds_since = time.monotonic()
        self._suppressed: Counter[str] = Counter()
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._closed = True
        self._wake.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def write(self, line: str) -> None:
        """Append a line without waiting; drops it when the buffer is full."""
        if len(self._lines) >= BUFFER_LINES:
            self._dropped += 1
            return
        self._lines.append(line)
        if not self._wake.is_set():
            self._wake.set()

    def limit(self, logger: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
        """Drop a line whose kind has come too often within a second (a structlog processor).

        :raises structlog.DropEvent: if so.
        """
        now = time.monotonic()
        if now - self._kinds_since >= 1.0:
            self._tell_suppressed()
            self._kinds_since = now
            self._kinds.clear()
        kind = event["event"]
        self._kinds[kind] += 1
        if self._kinds[kind] > LINES_PER_KIND_PER_S:
            self._suppressed[kind] += 1
            raise structlog.DropEvent
        return event

    def _tell_suppressed(self) -> None:
        for kind, lines in self._suppressed.items():
            self.write(_notice("log_lines_suppressed", kind=kind, lines=lines))
        self._suppressed.clear()

    def _run(self) -> None:
        while not self._closed or self._lines:
            self._wake.wait()
            self._wake.clear()
            self._flush()
            if not self._closed:
                time.sleep(FLUSH_INTERVAL_S)

    def _flush(self) -> None:
        text = ""
        while self._lines:
            line = self._lines.popleft() + "\n"
            if len(text) + len(line) > WHOLE_WRITE_CHARACTERS:
                self._put(text)
                text = ""
            text += line
        dropped, self._dropped = self._dropped, 0
        if dropped:
            text += _notice("log_lines_dropped", lines=dropped) + "\n"
        self._put(text)

    def _put(self, text: str) -> None:
        if text:
            self._stream.write(text)
            self._stream.flush()


@final
class BufferedLogger:
    """The logger at the end of structlog's processors."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer

    def msg(self, line: str) -> None:
        """Take a rendered line."""
        self._writer.write(line)

    log = debug = info = warning = error = critical = fatal = exception = msg


def _notice(event: str, **fields: Any) -> str:
    return json.dumps({**fields, "event": event, "level": "warning"})
