"""Puts the parts of one answer together and checks that the whole of it reaches the caller."""

from __future__ import annotations

from typing import final

import anyio

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.promises import Promise
from bramleylead.promises import Promises
from bramleylead.request._http_answers import CallPlace
from bramleylead.request._messages import AnswerChunk
from bramleylead.request._messages import AnswerEnd
from bramleylead.request._messages import AnswerStart
from bramleylead.request._service import CallItem

NO_END = Failure(ErrorKind.INTERNAL, "the answer stopped without an end")


@final
class AnswerGatherer:
    """The caller's side of one answer.

    ``first_text_s`` is the time to the first new text, in seconds, or ``None`` before it.

    :param offset: characters that the caller has from an earlier connection.
    """

    def __init__(self, promises: Promises, place: CallPlace, *, offset: int = 0) -> None:
        self._promises = promises
        self._place = place
        self._offset = offset
        self._asked_offset = offset
        self._began_s = anyio.current_time()
        self.first_text_s: float | None = None
        self.end: AnswerEnd | Failure | None = None

    @property
    def offset(self) -> int:
        """Characters of the whole answer that the caller has."""
        return self._offset

    @property
    def outcome(self) -> AnswerEnd | Failure:
        """How the call ended for this caller."""
        return NO_END if self.end is None else self.end

    def add(self, item: CallItem) -> str:
        """Take in one item and return the text that is new to the caller."""
        if isinstance(item, AnswerStart):
            self._place.number = item.number
            self._place.incarnation = item.incarnation
            return ""
        if isinstance(item, AnswerChunk):
            return self._add_chunk(item)
        self.end = self._check_failure(item) if isinstance(item, Failure) else self._check_end(item)
        return ""

    def _add_chunk(self, chunk: AnswerChunk) -> str:
        if not self._promises.check(
            Promise.WHOLE_ANSWER,
            chunk.offset <= self._offset,
            f"{self._named()}: text from {chunk.offset} came after only {self._offset} characters",
        ):
            self.end = Failure(ErrorKind.INTERNAL, "a part of the answer is missing: resume it")
            return ""
        new = chunk.text[self._offset - chunk.offset :]
        self._offset += len(new)
        if new and self.first_text_s is None:
            self.first_text_s = anyio.current_time() - self._began_s
        return new

    def _check_end(self, end: AnswerEnd) -> AnswerEnd | Failure:
        self._place.number = end.number
        self._place.incarnation = end.incarnation
        if self._asked_offset > end.length:
            detail = f"offset: {self._asked_offset}: the answer has {end.length} characters"
            return Failure(ErrorKind.MALFORMED, detail)
        if self._promises.check(
            Promise.WHOLE_ANSWER,
            end.length == self._offset,
            f"{self._named()}: {self._offset} of {end.length} characters came",
        ):
            return end
        return Failure(ErrorKind.INTERNAL, "the end of the answer is missing: resume it")

    def _check_failure(self, failure: Failure) -> Failure:
        """Correct a failure that says "not run" of a call whose text was seen."""
        denied = self.first_text_s is not None and failure.answer.ran is Ran.NOT_RUN
        detail = f"{self._named()}: {failure.kind.value} after text came"
        if self._promises.check(Promise.NOT_RUN, not denied, detail):
            return failure
        return Failure(ErrorKind.ENDPOINT_FAILED, f"{failure.kind.value}: {failure.detail}")

    def _named(self) -> str:
        return f"program {self._place.program} call {self._place.number}"
