"""A fake engine over HTTP, on the asyncio backend; ``docs/endpoints.md`` describes the format."""

from __future__ import annotations

import dataclasses
import json
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from result import Err

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind
from bramleylead.backends import CachePage
from bramleylead.backends import EngineChunk
from bramleylead.backends import GenerateCall
from bramleylead.backends import Message
from bramleylead.backends import Order
from bramleylead.backends import OrderKind
from bramleylead.standins._asgi import BYTES_TYPE
from bramleylead.standins._asgi import Answer
from bramleylead.standins._asgi import BadRequestError
from bramleylead.standins._asgi import Request
from bramleylead.standins._asgi import Routes
from bramleylead.standins._asgi import json_answer
from bramleylead.standins._asgi import send_head
from bramleylead.standins._engine import FakeEngine
from bramleylead.standins._engine_stream import EngineStream
from bramleylead.standins._serving import serve_app

WAITING_COMMENT_S = 1.0
DEFAULT_MAX_TOKENS = 1000
STATUSES = {
    BackendErrorKind.REFUSED: 503,
    BackendErrorKind.STALE_FENCE: 409,
    BackendErrorKind.FAILED: 500,
}


@asynccontextmanager
async def serve_engine(engine: FakeEngine, address: str) -> AsyncIterator[str]:
    """Run an engine and serve it at ``ip:port``; yields the bound address."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        async with serve_app(engine_app(engine), address) as bound:
            yield bound
        tasks.cancel_scope.cancel()


def engine_app(engine: FakeEngine) -> Routes:
    """Return the ASGI application of an engine."""
    routes = Routes()
    _add_calls(routes, engine)
    _add_cache(routes, engine)
    _add_reports(routes, engine)
    return routes


def refusal(error: BackendError) -> Answer:
    """Return the answer that stands for an error."""
    ran = "ran" if error.kind is BackendErrorKind.FAILED else "not run"
    body = {"error": {"kind": error.kind.value, "message": error.detail, "ran": ran}}
    headers = {"retry-after": f"{error.retry_after_s:g}"} if error.retry_after_s > 0 else {}
    return json_answer(body, status=STATUSES[error.kind], headers=headers)


def _add_calls(routes: Routes, engine: FakeEngine) -> None:
    @routes.route("POST", "/v1/chat/completions")
    async def generate(request: Request) -> Answer | None:
        call = _call(request.json())
        await engine.wait_awake()
        opened = engine.open(call)
        if isinstance(opened, Err):
            return refusal(opened.err_value)
        await _Sender(engine, opened.ok_value, request, call.resume_from).run()
        return None

    @routes.route("POST", "/v1/calls/cancel")
    async def cancel(request: Request) -> Answer:
        name = _text(request.json(), "call")
        return json_answer({"cancelled": engine.cancel(name)})


def _add_cache(routes: Routes, engine: FakeEngine) -> None:
    @routes.route("POST", "/v1/cache/release")
    async def release(request: Request) -> Answer:
        await engine.wait_awake()
        return json_answer({"tokens": engine.release(_text(request.json(), "program"))})

    @routes.route("POST", "/v1/cache/export")
    async def export_kv(request: Request) -> Answer:
        block = engine.export_kv(_text(request.json(), "program"))
        if isinstance(block, Err):
            return refusal(block.err_value)
        return Answer(200, block.ok_value, content_type=BYTES_TYPE)

    @routes.route("POST", "/v1/cache/import")
    async def import_kv(request: Request) -> Answer:
        held = engine.import_kv(request.parameter("program"), request.body)
        if isinstance(held, Err):
            return refusal(held.err_value)
        return json_answer({"tokens": held.ok_value})

    @routes.route("GET", "/v1/cache/events")
    async def events(request: Request) -> Answer:
        text = request.parameter("after")
        if not text.isdigit():
            raise BadRequestError(f"query: after: {text!r} must be a number from 0")
        return json_answer(_plain_page(engine.cache_events(int(text))))

    @routes.route("GET", "/v1/cache/contents")
    async def contents(request: Request) -> Answer:
        return json_answer(_plain_page(engine.cache.contents()))


def _add_reports(routes: Routes, engine: FakeEngine) -> None:
    @routes.route("GET", "/v1/load")
    async def load(request: Request) -> Answer:
        await engine.wait_awake()
        return json_answer(engine.load()._asdict())

    @routes.route("POST", "/v1/orders")
    async def order(request: Request) -> Answer:
        taken = engine.order(_order(request.json()))
        if isinstance(taken, Err):
            return refusal(taken.err_value)
        await anyio.sleep_until(taken.ok_value)
        return json_answer({})

    @routes.route("GET", "/stats")
    async def stats(request: Request) -> Answer:
        ledger = dataclasses.asdict(engine.ledger)
        counts = {name: value for name, value in ledger.items() if not isinstance(value, dict)}
        return json_answer(
            {
                "name": engine.name,
                "ledger": counts,
                "held_tokens": engine.cache.by_program(),
                "load": engine.load_now()._asdict(),
            }
        )


class _Sender:
    """Streams one call's answer to one connection."""

    def __init__(
        self, engine: FakeEngine, stream: EngineStream, request: Request, sent_tokens: int
    ) -> None:
        self._engine = engine
        self._stream = stream
        self._request = request
        self._sent_tokens = sent_tokens
        self._first = True

    async def run(self) -> None:
        """Send until the answer is whole, the engine loses the call, or the client goes away."""
        whole = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_client, tasks.cancel_scope)
                whole = await self._send_chunks()
                tasks.cancel_scope.cancel()
        finally:
            if whole:
                self._engine.close(self._stream)
            else:
                self._engine.detach(self._stream)

    async def _watch_client(self, scope: anyio.CancelScope) -> None:
        while True:
            message = await self._request.receive()
            if message["type"] == "http.disconnect":
                scope.cancel()
                return

    async def _send_chunks(self) -> bool:
        await send_head(self._request.send, 200, "text/event-stream")
        while not self._stream.lost:
            chunk = self._stream.take(self._sent_tokens, first=self._first)
            if chunk is None:
                await self._wait()
                continue
            self._sent_tokens += chunk.tokens
            self._first = False
            await self._send(f"data: {json.dumps(_plain_chunk(self._stream, chunk))}\n\n")
            if chunk.finish:
                await self._send("data: [DONE]\n\n", more=False)
                return True
        await self._send("", more=False)
        return False

    async def _wait(self) -> None:
        with anyio.move_on_after(WAITING_COMMENT_S) as waited:
            await self._stream.wait_changed()
        if waited.cancelled_caught and not self._engine.hung:
            await self._send(": waiting\n\n")

    async def _send(self, text: str, *, more: bool = True) -> None:
        body = {"type": "http.response.body", "body": text.encode(), "more_body": more}
        await self._request.send(body)


def _plain_chunk(stream: EngineStream, chunk: EngineChunk) -> dict[str, Any]:
    plain: dict[str, Any] = {
        "id": stream.call.call,
        "object": "chat.completion.chunk",
        "model": stream.call.model,
        "choices": [
            {"index": 0, "delta": {"content": chunk.text}, "finish_reason": chunk.finish or None}
        ],
        "bramleylead": {"tokens": chunk.tokens},
    }
    if chunk.prompt_tokens:
        plain["usage"] = {
            "prompt_tokens": chunk.prompt_tokens,
            "prompt_tokens_details": {"cached_tokens": chunk.cached_tokens},
        }
    return plain


def _call(plain: dict[str, Any]) -> GenerateCall:
    extra = plain.get("bramleylead", {})
    try:
        messages = tuple(Message(str(m["role"]), str(m["content"])) for m in plain["messages"])
        name = str(extra.get("call") or f"direct-{secrets.token_hex(8)}/1/1")
        return GenerateCall(
            call=name,
            program=str(extra.get("program") or name.partition("/")[0]),
            model=str(plain["model"]),
            messages=messages,
            max_tokens=int(plain.get("max_tokens", DEFAULT_MAX_TOKENS)),
            fence=int(extra.get("fence", 0)),
            resume_from=int(extra.get("resume_from", 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise BadRequestError(f"body: {type(error).__name__}: {error}") from error


def _order(plain: dict[str, Any]) -> Order:
    try:
        return Order(OrderKind(plain["kind"]), str(plain["name"]), int(plain["fence"]))
    except (KeyError, TypeError, ValueError) as error:
        raise BadRequestError(f"body: {type(error).__name__}: {error}") from error


def _text(plain: dict[str, Any], name: str) -> str:
    value = plain.get(name)
    if not isinstance(value, str):
        raise BadRequestError(f"body: {name} must be text")
    return value


def _plain_page(page: CachePage) -> dict[str, Any]:
    events = [event._asdict() for event in page.events]
    return {"next_sequence": page.next_sequence, "events": events, "complete": page.complete}
