"""The gateway's ASGI application: reads a request completely, routes it and writes the response."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
import structlog
from result import Err

from bramleylead.customers import Customer
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._authentication import authenticate
from bramleylead.gateway._body_memory import MAX_HELD_RESPONSE_BYTES
from bramleylead.gateway._body_memory import BodyMemory
from bramleylead.gateway._body_memory import HeldBody
from bramleylead.gateway._call import Call
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._fingerprint import fingerprint_of
from bramleylead.gateway._plain_calls import PlainCalls
from bramleylead.gateway._response_writer import HttpResponseWriter
from bramleylead.gateway._streams import StreamCalls
from bramleylead.http._exchange import Exchange
from bramleylead.http._exchange import Receive
from bramleylead.http._exchange import Scope
from bramleylead.http._exchange import Send
from bramleylead.platform import _names as names
from bramleylead.platform import _wire as wire
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import CallMetadata
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import Route

END_TO_END_HEADERS = frozenset(
    {
        names.REQUEST_ID,
        names.PROGRAM_ID,
        names.SESSION_ID,
        names.TOKEN_BUDGET,
        names.TOKEN_USAGE,
        names.PROMPT_PREFIX,
        names.PREVIOUS_TURN,
        names.CREDENTIAL,
    }
)
"""Headers that a caller gives once, and not as concerning its connection only."""

log = structlog.get_logger()


class ResponseAbortedError(Exception):
    """Raised to close a caller's connection in the middle of a response."""


class _Routed(NamedTuple):
    """Where a request goes, by which configuration, whose it is, and the count of its body."""

    route: Route
    configuration: Configuration
    customer: Customer | None
    held: HeldBody


@final
class GatewayApp:
    """Serves requests from callers.

    :param bounds_responses: whether what is held for callers that read slowly is bounded.
    """

    def __init__(
        self,
        directory: Directory,
        plain: PlainCalls,
        streams: StreamCalls,
        *,
        bounds_responses: bool = True,
    ) -> None:
        self._directory = directory
        self._plain = plain
        self._streams = streams
        self._bodies = BodyMemory()
        max_bytes = MAX_HELD_RESPONSE_BYTES if bounds_responses else sys.maxsize
        self._responses = BodyMemory(max_bytes=max_bytes)
        self.closing = False
        self.in_flight = 0

    @property
    def held_body_bytes(self) -> int:
        """The bytes of the bodies of requests under way that count towards their bound."""
        return self._bodies.held_bytes

    @property
    def held_response_bytes(self) -> int:
        """The bytes of whole responses held for callers that count towards their bound."""
        return self._responses.held_bytes

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        assert scope["type"] == "http"
        self.in_flight += 1
        try:
            await self._serve(scope, receive, send)
        except ResponseAbortedError:
            raise
        except Exception as error:
            # The HTTP server answers 500 or closes the connection: neither promises anything.
            log.exception("request_failed", reason=f"{type(error).__name__}: {error}")
            raise
        finally:
            self.in_flight -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        exchange = Exchange(scope, receive, send)
        exchange.close_after = exchange.close_after or self.closing
        if fault := _find_ambiguity(exchange, scope["headers"]):
            exchange.close_after = True
            writer = HttpResponseWriter(exchange, wire.read_identity(exchange.headers))
            await writer.send_failure(Failure(ErrorKind.MALFORMED, fault))
            return
        try:
            metadata = wire.read_call(exchange.headers)
        except wire.HeaderError as error:
            writer = HttpResponseWriter(exchange, wire.read_identity(exchange.headers))
            await writer.send_failure(Failure(ErrorKind.MALFORMED, str(error)))
            return
        writer = HttpResponseWriter(exchange, metadata)
        await self._handle(scope, exchange, writer)
        if writer.aborted:
            # The HTTP server closes a connection whose response is incomplete.
            raise ResponseAbortedError

    async def _handle(self, scope: Scope, exchange: Exchange, writer: HttpResponseWriter) -> None:
        configuration = self._directory.configuration
        if configuration is None:
            detail = "no configuration is known yet"
            await writer.send_failure(Failure(ErrorKind.STORE_UNAVAILABLE, detail, 0.5))
            return
        host = exchange.headers.get("host", "").partition(":")[0]
        route = configuration.find_route(host, exchange.path)
        if route is None:
            detail = (
                f"{host}{exchange.path}: no route in configuration version {configuration.version}"
            )
            await writer.send_failure(Failure(ErrorKind.UNKNOWN_TARGET, detail))
            return
        key = exchange.headers.get(names.CREDENTIAL, "")
        customer = authenticate(
            key, route, configuration, age_s=self._directory.configuration_age_s
        )
        if isinstance(customer, Err):
            await writer.send_failure(customer.err_value)
            return
        with self._bodies.hold() as held:
            routed = _Routed(route, configuration, customer.ok_value, held)
            await self._serve_route(scope, exchange, writer, routed)

    async def _serve_route(
        self, scope: Scope, exchange: Exchange, writer: HttpResponseWriter, routed: _Routed
    ) -> None:
        """Read the body and answer the call, while the body is counted."""
        arrived_at = anyio.current_time()
        route, configuration = routed.route, routed.configuration
        deadline = arrived_at + _timeout_for(route, writer.metadata)
        body = await exchange.read_body(
            max_bytes=configuration.limits.max_body_bytes,
            timeout_s=deadline - arrived_at,
            admit=routed.held.admit,
        )
        if isinstance(body, Err):
            await writer.send_failure(body.err_value)
            return
        target = _request_target(scope)
        headers = _request_headers(scope)
        call = Call(
            method=exchange.method,
            target=target,
            headers=headers,
            body=body.ok_value,
            metadata=writer.metadata,
            route=route,
            configuration=configuration,
            arrived_at=arrived_at,
            deadline=deadline,
            fingerprint=fingerprint_of(exchange.method, target, headers, body.ok_value),
            customer=routed.customer,
        )
        with self._responses.hold() as response:
            call = call._replace(admit_response=response.admit)
            await self._run_call(call, exchange, writer)

    async def _run_call(self, call: Call, exchange: Exchange, writer: HttpResponseWriter) -> None:
        """Answer a call; cancel it if the caller disconnects."""
        metadata = call.metadata
        log.info(
            "request_accepted",
            request=metadata.request_id,
            program=metadata.program,
            customer=call.turn_owner,
            route=call.route.name,
            configuration=call.configuration.version,
            left_s=round(call.remaining_s, 3),
            fingerprint=call.fingerprint.whole.hex(),
            beginning=call.fingerprint.beginning.hex(),
            resumes=metadata.resumed_request,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, exchange, writer, tasks.cancel_scope)
            if call.route.kind is CallKind.STREAM:
                await self._streams.answer(call, writer)
            else:
                await self._answer_plain(call, writer)
            tasks.cancel_scope.cancel()

    async def _answer_plain(self, call: Call, writer: HttpResponseWriter) -> None:
        result = await self._plain.answer(call)
        if isinstance(result, Err):
            await writer.send_failure(result.err_value)
        else:
            await writer.send_response(result.ok_value)


def readiness_app(is_ready: Any) -> Any:
    """Return the ASGI application that answers the load balancer's readiness checks."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        exchange = Exchange(scope, receive, send)
        if exchange.path != names.READY_PATH:
            await exchange.respond(404, b"", [])
        elif is_ready():
            await exchange.respond(200, b"", [])
        else:
            await exchange.respond(503, b"", [])

    return app


def _find_ambiguity(exchange: Exchange, raw_headers: Sequence[tuple[bytes, bytes]]) -> str:
    """Return why a replica could take a request for another one; empty if it could not."""
    if exchange.has_two_lengths:
        return "headers: either content-length or transfer-encoding is allowed, not both"
    options = exchange.headers.get("connection", "").lower().split(",")
    for name in sorted(END_TO_END_HEADERS & {option.strip() for option in options}):
        return f"header connection: {name} concerns the replica, not the connection"
    if len(raw_headers) != len(exchange.headers):
        received = Counter(name.decode("latin-1").lower() for name, _ in raw_headers)
        for name in sorted(name for name in END_TO_END_HEADERS if received[name] > 1):
            return f"header {name}: must be given once"
    return ""


async def _cancel_on_disconnect(
    exchange: Exchange, writer: HttpResponseWriter, scope: anyio.CancelScope
) -> None:
    await exchange.wait_disconnected()
    if not writer.finished:
        log.info("caller_gone", request=writer.metadata.request_id, program=writer.metadata.program)
        scope.cancel()


def _timeout_for(route: Route, metadata: CallMetadata) -> float:
    if metadata.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, metadata.deadline_s)


def _request_target(scope: Scope) -> str:
    path = scope.get("raw_path") or scope["path"].encode()
    query = scope.get("query_string", b"")
    target = path + b"?" + query if query else path
    return target.decode("latin-1")


def _request_headers(scope: Scope) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]
