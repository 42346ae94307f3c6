"""Writers for an answer: one JSON document, or server-sent events."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol
from typing import final

import anyio
from result import Err
from result import Result

from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.http._exchange import Exchange
from bramleylead.http._responses import JSON_TYPE
from bramleylead.http._responses import CallRef
from bramleylead.http._responses import encode_json
from bramleylead.http._responses import failure_body
from bramleylead.http._responses import success_fields
from bramleylead.http._responses import success_headers
from bramleylead.request._messages import AnswerEnd

KEEP_ALIVE_S = 10.0
KEEP_ALIVE_COMMENT = b": waiting\n\n"
STREAM_DONE = b"data: [DONE]\n\n"


class AnswerFormat(Protocol):
    """Formats the answers of one kind of call as JSON."""

    def whole_answer(self, text: str, end: AnswerEnd) -> dict[str, Any]:
        """Return the JSON document of a whole answer."""
        ...

    def text_chunk(self, text: str) -> dict[str, Any]:
        """Return the data of an event with text."""
        ...

    def final_chunk(self, end: AnswerEnd) -> dict[str, Any]:
        """Return the data of the event that ends the answer."""
        ...


class AnswerSink(Protocol):
    """Sends an answer to the caller as it arrives."""

    async def write(self, text: str, offset: int) -> None:
        """Write new text; ``offset`` counts the characters of the whole answer before it."""
        ...

    async def finish(self, end: AnswerEnd) -> None:
        """Finish the response after a successful answer."""
        ...

    async def fail(self, failure: Failure, offset: int) -> Result[None, Failure]:
        """Send the failure if the response has begun; return it, so that it is sent otherwise."""
        ...

    async def keep_alive(self) -> None:
        """Run until cancelled; may send keep-alives while the caller waits."""
        ...


@final
class JsonSink:
    """Collects the text and sends one JSON document."""

    def __init__(self, exchange: Exchange, call_ref: CallRef, answer_format: AnswerFormat) -> None:
        self._exchange = exchange
        self._call_ref = call_ref
        self._format = answer_format
        self._texts: list[str] = []

    async def write(self, text: str, offset: int) -> None:
        """Collect the text."""
        self._texts.append(text)

    async def finish(self, end: AnswerEnd) -> None:
        """Send the document."""
        document = self._format.whole_answer("".join(self._texts), end)
        document["bramleylead"] = answer_end_fields(self._call_ref, end)
        headers = [("content-type", JSON_TYPE), *success_headers(self._call_ref)]
        await self._exchange.respond(200, encode_json(document), headers)

    async def fail(self, failure: Failure, offset: int) -> Result[None, Failure]:
        """Return the failure, so that it is sent as the response."""
        return Err(failure)

    async def keep_alive(self) -> None:
        """Do nothing: the response can't begin before its status is known."""


@final
class EventSink:
    """Sends server-sent events.

    Status and headers are sent with the first text, so that a refusal before it has its own status.
    After ``KEEP_ALIVE_S`` without text a comment line is sent; a later refusal becomes an event.
    """

    def __init__(self, exchange: Exchange, call_ref: CallRef, answer_format: AnswerFormat) -> None:
        self._exchange = exchange
        self._call_ref = call_ref
        self._format = answer_format
        self._lock = anyio.Lock(fast_acquire=True)
        self._last_write_s = anyio.current_time()

    async def write(self, text: str, offset: int) -> None:
        """Send one event."""
        data = self._format.text_chunk(text)
        data["bramleylead"] = {"offset": offset, "call": self._call_ref.number}
        await self._send(_encode_event(data), ran=Ran.RAN)

    async def finish(self, end: AnswerEnd) -> None:
        """Send the last event and the ``[DONE]`` marker."""
        data = self._format.final_chunk(end)
        data["bramleylead"] = answer_end_fields(self._call_ref, end)
        await self._send(_encode_event(data) + STREAM_DONE, ran=Ran.RAN)
        await self._exchange.write(b"", more=False)

    async def fail(self, failure: Failure, offset: int) -> Result[None, Failure]:
        """Send the failure as an event if the response has begun; return it in either case."""
        if not self._exchange.started:
            return Err(failure)
        body = failure_body(failure, self._call_ref)
        body["error"]["offset"] = offset
        await self._send(b"event: error\n" + _encode_event(body), ran=failure.answer.ran)
        await self._exchange.write(b"", more=False)
        return Err(failure)

    async def keep_alive(self) -> None:
        """Send a comment whenever nothing was sent for ``KEEP_ALIVE_S``."""
        while True:
            idle_s = anyio.current_time() - self._last_write_s
            if idle_s < KEEP_ALIVE_S:
                await anyio.sleep(KEEP_ALIVE_S - idle_s)
                continue
            await self._send(KEEP_ALIVE_COMMENT, ran=Ran.UNKNOWN)

    async def _send(self, data: bytes, *, ran: Ran) -> None:
        async with self._lock:
            if not self._exchange.started:
                await self._exchange.start(200, self._headers(ran))
            self._last_write_s = anyio.current_time()
            await self._exchange.write(data)

    def _headers(self, ran: Ran) -> list[tuple[str, str]]:
        return [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            *success_headers(self._call_ref, ran=ran),
        ]


SinkFactory = Callable[[Exchange, CallRef, AnswerFormat], AnswerSink]


def answer_end_fields(call_ref: CallRef, end: AnswerEnd) -> dict[str, Any]:
    """Return the ``bramleylead`` object of the document or event that ends an answer."""
    return {
        **success_fields(call_ref),
        "length": end.length,
        "durable": end.durable,
        "endpoint": end.endpoint,
    }


def _encode_event(data: dict[str, Any]) -> bytes:
    return b"data: " + encode_json(data) + b"\n\n"
