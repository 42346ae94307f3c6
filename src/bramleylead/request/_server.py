"""Serves an ASGI application by uvicorn inside an anyio task, on the asyncio backend.

uvicorn installs no signal handlers here, so that several nodes can live in one process, and waits
for an event in place of its ten wake-ups a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from collections.abc import Callable
from collections.abc import Generator
from typing import Any
from typing import final

import anyio
import h11
import uvicorn
from anyio.abc import TaskStatus
from uvicorn.protocols.http.h11_impl import H11Protocol

from bramleylead.connection._tcp import split_address
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.request._http_answers import JSON_TYPE
from bramleylead.request._http_answers import CallPlace
from bramleylead.request._http_answers import encode_json
from bramleylead.request._http_answers import failure_body
from bramleylead.request._http_answers import failure_headers

BACKLOG_CONNECTIONS = 1024
HEADER_TIMEOUT_S = 10.0
KEEP_ALIVE_S = 30
MAX_HEAD_BYTES = 32_000
UNREAD_LIMIT_MS = 30_000
SILENT_AFTER_S = 15
SILENT_PROBE_INTERVAL_S = 5
SILENT_PROBES = 3
HEADERS_TOO_LARGE_HINT = 431
HEADERS_LATE = Failure(
    ErrorKind.DEADLINE_EXCEEDED, f"headers: not whole after {HEADER_TIMEOUT_S:g} s: send faster"
)


@final
class HttpServer:
    """One listener of one node.

    :param app: the ASGI callable.
    """

    def __init__(self, app: Callable[..., Any]) -> None:
        config = uvicorn.Config(
            app,
            interface="asgi3",
            http=_Protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="critical",
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG_CONNECTIONS,
            timeout_keep_alive=KEEP_ALIVE_S,
            h11_max_incomplete_event_size=MAX_HEAD_BYTES,
        )
        self._server = _Server(config)
        self.closed = anyio.Event()

    async def serve(
        self, address: str, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve ``host:port`` until stopped; port 0 takes a free one.

        ``started()`` gets the bound address. Cancelling drops every connection.

        :raises OSError: if the address can't be bound.
        """
        listener = _bind(address)
        bound = f"{address.rpartition(':')[0]}:{listener.getsockname()[1]}"
        self._server.on_started = lambda: task_status.started(bound)
        try:
            await self._server.serve(sockets=[listener])
        finally:
            self._server.drop()
            listener.close()
            self.closed.set()

    def stop(self, *, grace_s: float) -> None:
        """Accept nothing more and let :meth:`serve` return when the running requests have ended.

        :param grace_s: requests that still run then are cancelled.
        """
        self._server.config.timeout_graceful_shutdown = grace_s  # type: ignore[assignment]
        self._server.begin_exit()

    def kill(self) -> None:
        """Drop the listener, every connection and every request at once, as a dying process."""
        self._server.force_exit = True
        self._server.drop()
        self._server.begin_exit()


class _Server(uvicorn.Server):
    """uvicorn without signal handlers and without polling."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit = anyio.Event()
        self.servers = []
        self.on_started: Callable[[], None] = lambda: None

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Leave the process's signals alone."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start, then tell that the address is bound."""
        await super().startup(sockets)
        self.on_started()

    async def main_loop(self) -> None:
        """Wait for the end."""
        await self.on_tick(0)
        await self._exit.wait()

    def begin_exit(self) -> None:
        """End :meth:`main_loop`."""
        self.should_exit = True
        self._exit.set()

    def drop(self) -> None:
        """Close the listener, abort every connection, cancel every request."""
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()
        for task in list(self.server_state.tasks):
            task.cancel()


class _Protocol(H11Protocol):
    """uvicorn's protocol with a time limit on headers, and refusals worded as all others are."""

    _header_timer: asyncio.TimerHandle | None = None
    _received_any = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._arm()

    def connection_lost(self, exc: Exception | None) -> None:
        self._disarm()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._received_any = True
        if not self._request_under_way():
            self._arm()
        super().data_received(data)
        if self._request_under_way():
            self._disarm()

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that h11 could not read; called while its error is handled."""
        error = sys.exc_info()[1]
        hint = getattr(error, "error_status_hint", 0)
        if hint == HEADERS_TOO_LARGE_HINT:
            detail = f"headers: at most {MAX_HEAD_BYTES} bytes are allowed"
            self._refuse(Failure(ErrorKind.TOO_LARGE, detail))
        else:
            self._refuse(Failure(ErrorKind.MALFORMED, f"HTTP: {error}"))

    def on_response_complete(self) -> None:
        self._received_any = False
        super().on_response_complete()

    def _refuse(self, failure: Failure) -> None:
        self._disarm()
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            place = CallPlace()
            headers = [
                ("content-type", JSON_TYPE),
                ("connection", "close"),
                *failure_headers(failure, place),
            ]
            response = h11.Response(status_code=failure.answer.status, headers=headers)
            body = h11.Data(data=encode_json(failure_body(failure, place)))
            for event in (response, body, h11.EndOfMessage()):
                self.transport.write(self.conn.send(event) or b"")
        self.transport.close()

    def _request_under_way(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _arm(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self._headers_late)

    def _disarm(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _headers_late(self) -> None:
        self._header_timer = None
        if self._received_any:
            self._refuse(HEADERS_LATE)
        else:
            self.transport.close()


def _drop_silent_callers(listener: socket.socket) -> None:
    """Let the kernel end connections whose caller is gone without a word, or reads no more.

    Accepted connections inherit these options. Without them a request to such a caller would wait
    for good: an idle one has nothing that fails, a full one never drains.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, SILENT_AFTER_S),
        (socket.TCP_KEEPINTVL, SILENT_PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, SILENT_PROBES),
        (socket.TCP_USER_TIMEOUT, UNREAD_LIMIT_MS),
    ):
        listener.setsockopt(socket.IPPROTO_TCP, option, value)


def _bind(address: str) -> socket.socket:
    """Return a bound socket.

    Its protocol is named, since asyncio turns Nagle's delay off only for connections whose socket
    says that it is TCP; with the delay a response waits some 40 ms for the caller's kernel.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _drop_silent_callers(listener)
        listener.bind((host, port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
