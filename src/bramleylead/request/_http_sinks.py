"""Where an answer goes: one JSON document, or server-sent events."""

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
from bramleylead.request._exchange import Exchange
from bramleylead.request._http_answers import JSON_TYPE
from bramleylead.request._http_answers import CallPlace
from bramleylead.request._http_answers import encode_json
from bramleylead.request._http_answers import failure_body
from bramleylead.request._http_answers import success_fields
from bramleylead.request._http_answers import success_headers
from bramleylead.request._messages import AnswerEnd

KEEP_ALIVE_S = 10.0
KEEP_ALIVE_COMMENT = b": waiting\n\n"
STREAM_DONE = b"data: [DONE]\n\n"


class AnswerShape(Protocol):
    """Words an answer for one kind of call."""

    def whole(self, text: str, end: AnswerEnd) -> dict[str, Any]:
        """Return the JSON document of a finished answer."""
        ...

    def part(self, text: str) -> dict[str, Any]:
        """Return one event's data."""
        ...

    def last(self, end: AnswerEnd) -> dict[str, Any]:
        """Return the data of the event that ends the answer."""
        ...


class AnswerSink(Protocol):
    """Takes an answer as it comes."""

    async def write(self, text: str, offset: int) -> None:
        """Take new text; ``offset`` counts the characters of the whole answer before it."""
        ...

    async def finish(self, end: AnswerEnd) -> None:
        """Take the end."""
        ...

    async def fail(self, failure: Failure, offset: int) -> Result[None, Failure]:
        """Take a failure; an ``Err`` hands it back to be sent as the whole response."""
        ...

    async def keep_alive(self) -> None:
        """Run until cancelled, showing the caller now and then that its call is under way."""
        ...


@final
class JsonSink:
    """Gathers the text and sends one document."""

    def __init__(self, exchange: Exchange, place: CallPlace, shape: AnswerShape) -> None:
        self._exchange = exchange
        self._place = place
        self._shape = shape
        self._parts: list[str] = []

    async def write(self, text: str, offset: int) -> None:
        """Keep the text."""
        self._parts.append(text)

    async def finish(self, end: AnswerEnd) -> None:
        """Send the document."""
        document = self._shape.whole("".join(self._parts), end)
        document["bramleylead"] = end_fields(self._place, end)
        headers = [("content-type", JSON_TYPE), *success_headers(self._place)]
        await self._exchange.respond(200, encode_json(document), headers)

    async def fail(self, failure: Failure, offset: int) -> Result[None, Failure]:
        """Hand the failure back."""
        return Err(failure)

    async def keep_alive(self) -> None:
        """Do nothing: a JSON document can't begin before its status is known."""


@final
class EventSink:
    """Sends server-sent events.

    Status and headers wait for the first text, so that a refusal has its own status; a caller that
    waits longer than ``KEEP_ALIVE_S`` gets a comment line, and a later refusal as an event.
    """

    def __init__(self, exchange: Exchange, place: CallPlace, shape: AnswerShape) -> None:
        self._exchange = exchange
        self._place = place
        self._shape = shape
        self._lock = anyio.Lock(fast_acquire=True)
        self._written_at_s = anyio.current_time()

    async def write(self, text: str, offset: int) -> None:
        """Send one event."""
        data = self._shape.part(text)
        data["bramleylead"] = {"offset": offset, "call": self._place.number}
        await self._send(_event(data), ran=Ran.RAN)

    async def finish(self, end: AnswerEnd) -> None:
        """Send the last event and the mark of the end."""
        data = self._shape.last(end)
        data["bramleylead"] = end_fields(self._place, end)
        await self._send(_event(data) + STREAM_DONE, ran=Ran.RAN)
        await self._exchange.write(b"", more=False)

    async def fail(self, failure: Failure, offset: int) -> Result[None, Failure]:
        """Send the failure as an event if the response has begun, else hand it back."""
        if not self._exchange.started:
            return Err(failure)
        body = failure_body(failure, self._place)
        body["error"]["offset"] = offset
        await self._send(b"event: error\n" + _event(body), ran=failure.answer.ran)
        await self._exchange.write(b"", more=False)
        return Err(failure)

    async def keep_alive(self) -> None:
        """Send a comment whenever nothing was sent for a while."""
        while True:
            idle_s = anyio.current_time() - self._written_at_s
            if idle_s < KEEP_ALIVE_S:
                await anyio.sleep(KEEP_ALIVE_S - idle_s)
                continue
            await self._send(KEEP_ALIVE_COMMENT, ran=Ran.UNKNOWN)

    async def _send(self, data: bytes, *, ran: Ran) -> None:
        async with self._lock:
            if not self._exchange.started:
                await self._exchange.start(200, self._headers(ran))
            self._written_at_s = anyio.current_time()
            await self._exchange.write(data)

    def _headers(self, ran: Ran) -> list[tuple[str, str]]:
        return [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-cache"),
            *success_headers(self._place, ran=ran),
        ]


SinkFactory = Callable[[Exchange, CallPlace, AnswerShape], AnswerSink]


def end_fields(place: CallPlace, end: AnswerEnd) -> dict[str, Any]:
    """Return what the end of an answer says beyond the chat-completions document."""
    return {
        **success_fields(place),
        "length": end.length,
        "durable": end.durable,
        "endpoint": end.endpoint,
    }


def _event(data: dict[str, Any]) -> bytes:
    return b"data: " + encode_json(data) + b"\n\n"
