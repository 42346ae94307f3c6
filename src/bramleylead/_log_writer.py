"""Writes log lines from a bounded buffer on a thread of its own.

The event loop only appends. When nobody reads the stream, the thread waits and lines are dropped;
when the stream fails, the lines that it refused are dropped, and the next ones are tried later. How
many were dropped is said in the log itself. A kind of line that comes too often is dropped as well.
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
from result import Err

from bramleylead._log_output import LogOutput

BUFFER_LINES = 20_000
FLUSH_INTERVAL_S = 0.1
LINES_PER_KIND_PER_S = 2_000
CLOSE_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 1.0
"""Between tries to write to a stream that fails, and to start a thread."""
BUFFER_FULL = "the buffer is full"
WHOLE_WRITE_CHARACTERS = 4_000
"""What a pipe takes in one piece, so that lines of several processes do not mix."""


@final
class LogWriter:
    """The buffer and its thread; leaving the context writes what is left, if somebody reads.

    :param stream: where lines go.
    """

    def __init__(self, stream: TextIO) -> None:
        self._output = LogOutput(stream)
        self._lines: deque[str] = deque()
        self._wake = threading.Event()
        self._closing = threading.Event()
        self._thread: threading.Thread | None = None
        self._start_at = float("inf")
        self._overflowed = 0
        self._refused = 0
        self._told = 0
        self._reason = BUFFER_FULL
        self._kinds: Counter[str] = Counter()
        self._kinds_since = time.monotonic()
        self._suppressed: Counter[str] = Counter()

    @property
    def lines_dropped(self) -> int:
        """How many lines were dropped since the start, those that came too often not counted."""
        return self._overflowed + self._refused

    def __enter__(self) -> Self:
        self._start_thread()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._closing.set()
        self._wake.set()
        if self._thread is None:
            self._start_thread()
        if self._thread is not None:
            self._thread.join(CLOSE_TIMEOUT_S)

    def write(self, line: str) -> None:
        """Append a line without waiting; drops it when the buffer is full."""
        if len(self._lines) >= BUFFER_LINES:
            self._overflowed += 1
            return
        self._lines.append(line)
        if not self._wake.is_set():
            self._wake.set()
        if self._thread is None and time.monotonic() >= self._start_at:
            self._start_thread()

    def gauges(self) -> dict[str, float]:
        """Return the values of the log's metrics."""
        return {"log_lines_dropped": self.lines_dropped}

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

    def _start_thread(self) -> None:
        """Start the thread; where the system has none left, a later line tries again."""
        thread = threading.Thread(target=self._run, name="log-writer", daemon=True)
        try:
            thread.start()
        except (RuntimeError, MemoryError):
            self._start_at = time.monotonic() + RETRY_INTERVAL_S
        else:
            self._thread = thread

    def _run(self) -> None:
        while not self._closing.is_set() or self._lines:
            self._wake.wait()
            self._wake.clear()
            if self._try_flush():
                self._closing.wait(FLUSH_INTERVAL_S)
            else:
                self._wake.set()
                self._closing.wait(RETRY_INTERVAL_S)

    def _try_flush(self) -> bool:
        try:
            return self._flush()
        except MemoryError as error:
            # The lines in hand are lost; how many is not known any more.
            self._refused += 1
            self._reason = type(error).__name__
            return False

    def _flush(self) -> bool:
        """Write what waits; return whether the stream took it."""
        text = ""
        while self._lines:
            line = self._lines.popleft() + "\n"
            if len(text) + len(line) > WHOLE_WRITE_CHARACTERS:
                if not self._put(text):
                    self._lines.appendleft(line.removesuffix("\n"))
                    return False
                text = ""
            text += line
        return self._put(text) and self._tell_dropped()

    def _put(self, text: str) -> bool:
        if not text:
            return True
        put = self._output.put(text)
        if isinstance(put, Err):
            self._refused += put.err_value.lines
            self._reason = put.err_value.reason
        return put.is_ok()

    def _tell_dropped(self) -> bool:
        dropped = self.lines_dropped - self._told
        if not dropped:
            return True
        notice = _notice("log_lines_dropped", lines=dropped, reason=self._reason)
        if self._output.put(notice + "\n").is_err():
            return False
        self._told += dropped
        self._reason = BUFFER_FULL
        return True


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
