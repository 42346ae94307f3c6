"""Writes the log's text to a stream that may refuse it.

A stream with a descriptor is written to by that, since the stream's own buffer keeps what could not
be written, and fails again with it when the process ends.
"""

from __future__ import annotations

import os
import time
from typing import NamedTuple
from typing import TextIO
from typing import final

from result import Err
from result import Ok
from result import Result

FULL_PIPE_WAIT_S = 0.1
LINE_END = b"\n"


class LostLines(NamedTuple):
    """How many lines were not written whole, and why."""

    lines: int
    reason: str


@final
class LogOutput:
    """A stream of whole lines.

    :param stream: where they go; not written to by anybody else.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._descriptor = _descriptor_of(stream)
        self._line_is_open = False

    def put(self, text: str) -> Result[None, LostLines]:
        """Write lines; waits while a pipe is full.

        :param text: lines, each with its end.
        """
        data = text.encode(errors="backslashreplace")
        if self._descriptor is None:
            return self._put_in_stream(data)
        if self._line_is_open:
            # Else the next line would go on where the one that failed broke off.
            data = LINE_END + data
        return self._put_in_descriptor(self._descriptor, data, lines=text.count("\n"))

    def _put_in_stream(self, data: bytes) -> Result[None, LostLines]:
        try:
            self._stream.write(data.decode())
            self._stream.flush()
        except Exception as error:
            return Err(LostLines(data.count(LINE_END), _reason(error)))
        return Ok(None)

    def _put_in_descriptor(
        self, descriptor: int, data: bytes, *, lines: int
    ) -> Result[None, LostLines]:
        remaining = memoryview(data)
        while remaining:
            try:
                written = os.write(descriptor, remaining)
            except BlockingIOError:
                time.sleep(FULL_PIPE_WAIT_S)
            except Exception as error:
                unwritten = min(lines, bytes(remaining).count(LINE_END))
                return Err(LostLines(unwritten, _reason(error)))
            else:
                self._line_is_open = not bytes(remaining[:written]).endswith(LINE_END)
                remaining = remaining[written:]
        return Ok(None)


def _descriptor_of(stream: TextIO) -> int | None:
    try:
        return stream.fileno()
    except (OSError, ValueError):
        return None


def _reason(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
