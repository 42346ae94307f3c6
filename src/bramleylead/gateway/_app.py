"""The gateway as an ASGI application: reads a request whole, and lets it be answered."""

from __future__ import annotations

from typing import Any
from typing import final

import anyio
import structlog
from result import Err

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._call import Call
from bramleylead.gateway._call import WholeAnswer
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._plain import PlainCalls
from bramleylead.gateway._streams import StreamCalls
from bramleylead.gateway._types import CallFacts
from bramleylead.gateway._types import CallKind
from bramleylead.gateway._types import Route
from bramleylead.gateway._upstream import ResponseHead
from bramleylead.platform import _names as names
from bramleylead.platform import _wire as wire
from bramleylead.request._exchange import Exchange
from bramleylead.request._exchange import Receive
from bramleylead.request._exchange import Scope
from bramleylead.request._exchange import Send
from bramleylead.request._http_answers import JSON_TYPE
from bramleylead.request._http_answers import encode_json

log = structlog.get_logger()


class BrokenOffError(Exception):
    """Ends a caller's connection in the middle of an answer."""


@final
class GatewayApp:
    """Answers callers."""

    def __init__(self, directory: Directory, plain: PlainCalls, streams: StreamCalls) -> None:
        self._directory = directory
        self._plain = plain
        self._streams = streams
        self.closing = False
        self.running = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        assert scope["type"] == "http"
        self.running += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.running -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        exchange = Exchange(scope, receive, send)
        exchange.close_after = self.closing
        caller = HttpCaller(exchange, wire.read_call(exchange.headers))
        await self._answer(scope, exchange, caller)
        if caller.broken:
            # The server closes a connection whose response was not ended.
            raise BrokenOffError

    async def _answer(self, scope: Scope, exchange: Exchange, caller: HttpCaller) -> None:
        arrived_at = anyio.current_time()
        configuration = self._directory.configuration
        if configuration is None:
            detail = "no configuration is known yet"
            await caller.refuse(Failure(ErrorKind.STORE_UNAVAILABLE, detail, 0.5))
            return
        host = exchange.headers.get("host", "").partition(":")[0]
        route = configuration.route(host, exchange.path)
        if route is None:
            detail = f"{host}{exchange.path}: no route at version {configuration.version}"
            await caller.refuse(Failure(ErrorKind.UNKNOWN_TARGET, detail))
            return
        ends_at = arrived_at + _time_for(route, caller.facts)
        limits = configuration.limits
        body = await exchange.read_body(max_bytes=limits.body_bytes, timeout_s=ends_at - arrived_at)
        if isinstance(body, Err):
            await caller.refuse(body.err_value)
            return
        call = Call(
            method=exchange.method,
            target=_target(scope),
            headers=_headers(scope),
            body=body.ok_value,
            facts=caller.facts,
            route=route,
            configuration=configuration,
            arrived_at=arrived_at,
            ends_at=ends_at,
        )
        await self._run(call, exchange, caller)

    async def _run(self, call: Call, exchange: Exchange, caller: HttpCaller) -> None:
        """Answer a call; a caller that goes ends the work on it."""
        facts = call.facts
        log.info(
            "request_accepted",
            request=facts.request,
            program=facts.program,
            route=call.route.name,
            configuration=call.configuration.version,
            left_s=round(call.left_s, 3),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_end_when_gone, exchange, caller, tasks.cancel_scope)
            if call.route.kind is CallKind.STREAM:
                await self._streams.answer(call, caller)
            else:
                await self._answer_plain(call, caller)
            tasks.cancel_scope.cancel()

    async def _answer_plain(self, call: Call, caller: HttpCaller) -> None:
        answer = await self._plain.answer(call)
        if isinstance(answer, Err):
            await caller.refuse(answer.err_value)
        else:
            await caller.answer(answer.ok_value)


@final
class HttpCaller:
    """Where one request's answer goes."""

    def __init__(self, exchange: Exchange, facts: CallFacts) -> None:
        self._exchange = exchange
        self._began_at = anyio.current_time()
        self.facts = facts
        self.broken = False
        self.ended = False

    async def begin(self, head: ResponseHead) -> None:
        """Send status and headers of a stream."""
        headers = wire.answer_headers(head.headers)
        self._log("stream_begun", status=head.status)
        await self._exchange.start(head.status, headers)

    async def pass_on(self, data: bytes) -> None:
        """Send a part of a stream."""
        await self._exchange.write(data)

    async def finish(self) -> None:
        """End a stream as complete."""
        self.ended = True
        await self._exchange.write(b"", more=False)
        self._log("answered", status=200)

    async def break_off(self) -> None:
        """End the connection so that the answer does not look complete."""
        self.broken = True
        self._log("broken_off")

    async def answer(self, answer: WholeAnswer) -> None:
        """Send a replica's whole answer."""
        self.ended = True
        headers = wire.answer_headers(answer.head.headers)
        await self._exchange.respond(answer.head.status, answer.body, headers)
        self._log("answered", status=answer.head.status, replica=answer.replica.name)

    async def refuse(self, failure: Failure) -> None:
        """Send a refusal or failure of the gateway's own."""
        self.ended = True
        row = failure.answer
        headers = [("content-type", JSON_TYPE)]
        headers += wire.retry_headers(self.facts.request, row.retry_after_s)
        body = {"error": {"kind": failure.kind, "message": failure.detail, "ran": row.ran}}
        self._log(
            "refused",
            kind=failure.kind,
            status=row.status,
            ran=row.ran,
            retry_after_s=row.retry_after_s,
            reason=failure.detail,
        )
        if failure.kind is ErrorKind.NOT_DURABLE:
            # A caller that connects anew reaches a gateway that has the ledger.
            self._exchange.close_after = True
        await self._exchange.respond(row.status, encode_json(body), headers)

    def _log(self, event: str, **fields: Any) -> None:
        took_s = round(anyio.current_time() - self._began_at, 4)
        facts = self.facts
        log.info(event, request=facts.request, program=facts.program, took_s=took_s, **fields)


def ready_app(is_ready: Any) -> Any:
    """Return the ASGI application that tells the balancer whether this gateway takes callers."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        exchange = Exchange(scope, receive, send)
        if exchange.path != names.READY_PATH:
            await exchange.respond(404, b"", [])
        elif is_ready():
            await exchange.respond(200, b"", [])
        else:
            await exchange.respond(503, b"", [])

    return app


async def _end_when_gone(exchange: Exchange, caller: HttpCaller, scope: anyio.CancelScope) -> None:
    await exchange.wait_gone()
    if not caller.ended:
        log.info("caller_gone", request=caller.facts.request, program=caller.facts.program)
        scope.cancel()


def _time_for(route: Route, facts: CallFacts) -> float:
    if facts.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, facts.deadline_s)


def _target(scope: Scope) -> str:
    path = scope.get("raw_path") or scope["path"].encode()
    query = scope.get("query_string", b"")
    whole = path + b"?" + query if query else path
    return whole.decode("latin-1")


def _headers(scope: Scope) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
