"""The ASGI application of a node: routing, authentication, error responses and metrics."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.http._exchange import MAX_HEADER_BYTES
from bramleylead.http._exchange import Exchange
from bramleylead.http._exchange import Receive
from bramleylead.http._exchange import Scope
from bramleylead.http._exchange import Send
from bramleylead.http._responses import JSON_TYPE
from bramleylead.http._responses import NO_ERROR
from bramleylead.http._responses import CallRef
from bramleylead.http._responses import encode_json
from bramleylead.http._responses import failure_body
from bramleylead.http._responses import failure_headers
from bramleylead.request import _http_calls
from bramleylead.request import _http_operators
from bramleylead.request import _http_programs
from bramleylead.request._http_routes import Access
from bramleylead.request._http_routes import HttpRequest
from bramleylead.request._http_routes import Route
from bramleylead.request._http_routes import find_route
from bramleylead.request._service import NodeService

if TYPE_CHECKING:
    from bramleylead.node_settings import RequestSettings

ROUTE_MODULES = (_http_calls, _http_operators, _http_programs)
"""Importing these modules registers their routes."""

PROGRAM_ID_BYTES = 12
NO_ROUTE = "none"
BEARER_PREFIX = "bearer "

log = structlog.get_logger()


def random_program_id() -> str:
    """Return an id for a program whose caller gave none."""
    return f"p-{secrets.token_hex(PROGRAM_ID_BYTES)}"


@final
class HttpApp:
    """The ASGI callable of one node.

    :param new_program_id: generates ids for programs whose callers gave none.
    :param wall_clock: returns Unix time in seconds.
    """

    def __init__(
        self,
        service: NodeService,
        settings: RequestSettings,
        *,
        new_program_id: Callable[[], str] = random_program_id,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._service = service
        self._settings = settings
        self._new_program_id = new_program_id
        self._wall_clock = wall_clock
        self._running = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request; reject other ASGI scope types."""
        if scope["type"] != "http":
            raise ValueError(f"scope {scope['type']}: only http is supported")
        exchange = Exchange(scope, receive, send)
        exchange.close_after = self._service.stopping
        call_ref = CallRef()
        metrics = self._service.metrics
        started_s = anyio.current_time()
        self._count_running(1)
        route_path, answer_label = NO_ROUTE, ErrorKind.CANCELLED.value
        try:
            matched = _check_request(exchange)
            if isinstance(matched, Ok):
                route_path = matched.ok_value[0].path
                result = await self._handle(exchange, call_ref, *matched.ok_value)
            else:
                result = matched
            answer_label = await self._finish_response(exchange, call_ref, result)
        except Exception:
            log.exception("response_failed", route=route_path, program=call_ref.program)
            raise
        finally:
            self._count_running(-1)
            metrics.requests.inc({"route": route_path, "answer": answer_label})
            elapsed_s = anyio.current_time() - started_s
            metrics.request_seconds.observe({"route": route_path}, elapsed_s)

    async def _handle(
        self, exchange: Exchange, call_ref: CallRef, route: Route, arguments: dict[str, str]
    ) -> Result[None, Failure]:
        branch = self._authenticate(exchange, route.access)
        if isinstance(branch, Err):
            return branch
        refusal = self._check_admission() if route.new_work else None
        if refusal is not None:
            return Err(refusal)
        request = HttpRequest(
            service=self._service,
            settings=self._settings,
            exchange=exchange,
            branch=branch.ok_value,
            arguments=arguments,
            call_ref=call_ref,
            new_program_id=self._new_program_id,
            wall_clock=self._wall_clock,
        )
        try:
            return await route.handler(request)
        except Exception:
            log.exception("request_failed", route=route.path, program=call_ref.program)
            return Err(Failure(ErrorKind.INTERNAL, f"{route.path}: an unexpected error"))

    def _check_admission(self) -> Failure | None:
        """Return a failure if new work must be refused; checked before the body is read."""
        if self._service.stopping:
            return Failure(ErrorKind.STOPPING, "this node is stopping")
        if self._running > self._settings.max_running:
            limit = self._settings.max_running
            return Failure(ErrorKind.OVERLOADED, f"this node already serves {limit} requests")
        return None

    def _authenticate(self, exchange: Exchange, access: Access) -> Result[str, Failure]:
        """Return the caller's branch, or an empty string for operators and public routes."""
        if access is Access.PUBLIC:
            return Ok("")
        header = exchange.headers.get("authorization", "")
        if not header.lower().startswith(BEARER_PREFIX):
            detail = "Authorization: missing or uses another scheme: must be Bearer KEY"
            return Err(Failure(ErrorKind.UNAUTHENTICATED, detail))
        key = header[len(BEARER_PREFIX) :].strip()
        branch = self._service.branch_of_key(key)
        operator = self._service.is_operator(key)
        if access is Access.CALLER and branch is not None:
            return Ok(branch)
        if access is Access.OPERATOR and operator:
            return Ok("")
        if branch is not None or operator:
            detail = f"Authorization: this path requires a key for {access.name.lower()}s"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        return Err(Failure(ErrorKind.UNAUTHENTICATED, "Authorization: unknown key"))

    async def _finish_response(
        self, exchange: Exchange, call_ref: CallRef, result: Result[None, Failure]
    ) -> str:
        """Send the failure, if any and if no response has begun; return the metrics label."""
        if isinstance(result, Ok):
            return NO_ERROR
        failure = result.err_value
        if not exchange.started:
            headers = [("content-type", JSON_TYPE), *failure_headers(failure, call_ref)]
            body = encode_json(failure_body(failure, call_ref))
            await exchange.respond(failure.answer.status, body, headers)
        return failure.kind.value

    def _count_running(self, change: int) -> None:
        self._running += change
        self._service.metrics.requests_running.set({}, self._running)


def _check_request(exchange: Exchange) -> Result[tuple[Route, dict[str, str]], Failure]:
    if exchange.header_bytes > MAX_HEADER_BYTES:
        detail = f"headers: {exchange.header_bytes} bytes: at most {MAX_HEADER_BYTES} are allowed"
        return Err(Failure(ErrorKind.TOO_LARGE, detail))
    return find_route(exchange.method, exchange.path)
