"""The answer of one running call: one writer, any number of readers, each from its own offset."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import final

import anyio

from bramleylead.errors import Failure
from bramleylead.request._messages import AnswerChunk
from bramleylead.request._messages import AnswerEnd
from bramleylead.request._messages import AnswerStart
from bramleylead.request._service import CallItem


@final
class AnswerBuffer:
    """Buffers an answer's text; readers follow it until its end.

    A retried attempt writes the same text again from offset 0. Text that is already in the buffer
    is compared and not appended, so every reader sees a single answer.
    """

    def __init__(self) -> None:
        self._text = ""
        self._tokens = 0
        self._start: AnswerStart | None = None
        self._end: AnswerEnd | Failure | None = None
        self._changed = anyio.Event()

    @property
    def text(self) -> str:
        """The text received so far."""
        return self._text

    @property
    def length(self) -> int:
        """Number of characters received so far."""
        return len(self._text)

    @property
    def end(self) -> AnswerEnd | Failure | None:
        """How the call ended, or ``None`` while it runs."""
        return self._end

    def start(self, number: int, incarnation: int) -> None:
        """Set the number and incarnation under which the journal records the call."""
        self._start = AnswerStart(number, incarnation)
        self._notify()

    def write(self, offset: int, text: str, tokens: int) -> bool:
        """Write text at an offset; return whether it matches the buffer and leaves no gap."""
        existing = self._text[offset : offset + len(text)]
        if offset > len(self._text) or not text.startswith(existing):
            return False
        new = text[len(existing) :]
        if new:
            self._text += new
            self._tokens += tokens
            self._notify()
        return True

    def finish(self, end: AnswerEnd | Failure) -> None:
        """Set how the call ended; later calls are ignored."""
        if self._end is None:
            self._end = end
            self._notify()

    async def read(self, offset: int) -> AsyncIterator[CallItem]:
        """Yield the call's number, the text from ``offset`` as it arrives, then the end."""
        tokens_seen = 0
        started = False
        while True:
            if self._start is not None and not started:
                started = True
                yield self._start
            elif offset < len(self._text):
                text = self._text[offset:]
                yield AnswerChunk(offset, text, self._tokens - tokens_seen)
                offset += len(text)
                tokens_seen = self._tokens
            elif self._end is not None:
                yield self._end
                return
            else:
                await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()
