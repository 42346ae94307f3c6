"""Reassembles one answer from its chunks and checks that the caller receives all of it."""

from __future__ import annotations

from typing import final

import anyio

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.http._responses import CallRef
from bramleylead.promises import Promise
from bramleylead.promises import Promises
from bramleylead.request._messages import AnswerChunk
from bramleylead.request._messages import AnswerEnd
from bramleylead.request._messages import AnswerStart
from bramleylead.request._service import CallItem

MISSING_END = Failure(ErrorKind.INTERNAL, "the answer stream stopped before its end")


@final
class AnswerAssembler:
    """Reassembles one answer at the node that the caller is connected to.

    ``first_text_s`` is the time to the first new text, in seconds, or ``None`` before it.

    :param offset: characters that the caller already received on an earlier connection.
    """

    def __init__(self, promises: Promises, call_ref: CallRef, *, offset: int = 0) -> None:
        self._promises = promises
        self._call_ref = call_ref
        self._offset = offset
        self._requested_offset = offset
        self._started_s = anyio.current_time()
        self.first_text_s: float | None = None
        self.end: AnswerEnd | Failure | None = None

    @property
    def offset(self) -> int:
        """Characters of the whole answer that the caller has received."""
        return self._offset

    @property
    def outcome(self) -> AnswerEnd | Failure:
        """How the call ended for this caller."""
        return MISSING_END if self.end is None else self.end

    def add(self, item: CallItem) -> str:
        """Process one item and return the text that the caller has not received yet."""
        if isinstance(item, AnswerStart):
            self._call_ref.number = item.number
            self._call_ref.incarnation = item.incarnation
            return ""
        if isinstance(item, AnswerChunk):
            return self._add_chunk(item)
        self.end = self._check_failure(item) if isinstance(item, Failure) else self._check_end(item)
        return ""

    def _add_chunk(self, chunk: AnswerChunk) -> str:
        if not self._promises.check(
            Promise.WHOLE_ANSWER,
            chunk.offset <= self._offset,
            f"{self._describe_call()}: text at {chunk.offset} came after {self._offset} characters",
        ):
            self.end = Failure(ErrorKind.INTERNAL, "a part of the answer is missing: resume it")
            return ""
        new_text = chunk.text[self._offset - chunk.offset :]
        self._offset += len(new_text)
        if new_text and self.first_text_s is None:
            self.first_text_s = anyio.current_time() - self._started_s
        return new_text

    def _check_end(self, end: AnswerEnd) -> AnswerEnd | Failure:
        self._call_ref.number = end.number
        self._call_ref.incarnation = end.incarnation
        if self._requested_offset > end.length:
            detail = f"offset: {self._requested_offset}: the answer has {end.length} characters"
            return Failure(ErrorKind.MALFORMED, detail)
        if self._promises.check(
            Promise.WHOLE_ANSWER,
            end.length == self._offset,
            f"{self._describe_call()}: {self._offset} of {end.length} characters arrived",
        ):
            return end
        return Failure(ErrorKind.INTERNAL, "the end of the answer is missing: resume it")

    def _check_failure(self, failure: Failure) -> Failure:
        """Replace a failure that says "not run" if text of the call has already arrived."""
        contradicted = self.first_text_s is not None and failure.answer.ran is Ran.NOT_RUN
        detail = f"{self._describe_call()}: {failure.kind.value} after text arrived"
        if self._promises.check(Promise.NOT_RUN, not contradicted, detail):
            return failure
        return Failure(ErrorKind.ENDPOINT_FAILED, f"{failure.kind.value}: {failure.detail}")

    def _describe_call(self) -> str:
        return f"program {self._call_ref.program} call {self._call_ref.number}"
