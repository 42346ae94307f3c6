"""Serves an ASGI application with uvicorn inside an anyio task, on the asyncio backend.

uvicorn installs no signal handlers here, so that several nodes can run in one process. It waits for
an event where it would by default poll ten times a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
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
from bramleylead.http._exchange import Receive
from bramleylead.http._exchange import Scope
from bramleylead.http._exchange import Send
from bramleylead.http._responses import JSON_TYPE
from bramleylead.http._responses import CallRef
from bramleylead.http._responses import encode_json
from bramleylead.http._responses import failure_body
from bramleylead.http._responses import failure_headers

BACKLOG_CONNECTIONS = 1024
HEADER_TIMEOUT_S = 10.0
HTTP_KEEP_ALIVE_S = 30
MAX_HEADER_BYTES = 32_000
TCP_USER_TIMEOUT_MS = 30_000
TCP_KEEPALIVE_IDLE_S = 15
TCP_KEEPALIVE_INTERVAL_S = 5
TCP_KEEPALIVE_PROBES = 3
HEADERS_TOO_LARGE_STATUS = 431
HTTP_1_0 = "1.0"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with no time to linger."""
FLUSH_ON_CLOSE = struct.pack("ii", 0, 0)
HEADER_TIMEOUT_FAILURE = Failure(
    ErrorKind.DEADLINE_EXCEEDED, f"headers: incomplete after {HEADER_TIMEOUT_S:g} s: send faster"
)


@final
class HttpServer:
    """One HTTP listener of one node.

    :param app: the ASGI callable.
    """

    def __init__(self, app: Callable[..., Any]) -> None:
        config = uvicorn.Config(
            app,
            interface="asgi3",
            http=_HttpProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="critical",
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            backlog=BACKLOG_CONNECTIONS,
            timeout_keep_alive=HTTP_KEEP_ALIVE_S,
            h11_max_incomplete_event_size=MAX_HEADER_BYTES,
        )
        self._server = _Server(config)
        self.closed = anyio.Event()

    async def serve(
        self, address: str, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve ``host:port`` until stopped; port 0 selects a free port.

        ``task_status.started()`` receives the bound address. Cancelling aborts every connection.

        :raises OSError: if the address can't be bound.
        """
        listener = _bind(address)
        bound = f"{address.rpartition(':')[0]}:{listener.getsockname()[1]}"
        self._server.on_started = lambda: task_status.started(bound)
        try:
            await self._server.serve(sockets=[listener])
        finally:
            self._server.abort_all()
            listener.close()
            self.closed.set()

    def stop(self, *, grace_s: float) -> None:
        """Stop accepting and let :meth:`serve` return when the running requests have ended.

        :param grace_s: requests still running after this time are cancelled.
        """
        self._server.config.timeout_graceful_shutdown = grace_s  # type: ignore[assignment]
        self._server.request_exit()

    def kill(self) -> None:
        """Abort the listener, every connection and every request at once, like a process crash."""
        self._server.force_exit = True
        self._server.abort_all()
        self._server.request_exit()


class _Server(uvicorn.Server):
    """uvicorn without signal handlers and without polling."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = anyio.Event()
        self.servers = []
        self.on_started: Callable[[], None] = lambda: None

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start, then call ``on_started``, as the address is now bound."""
        await super().startup(sockets)
        self.on_started()

    async def main_loop(self) -> None:
        """Wait until :meth:`request_exit` is called."""
        await self.on_tick(0)
        await self._exit_requested.wait()

    def request_exit(self) -> None:
        """Make :meth:`main_loop` return."""
        self.should_exit = True
        self._exit_requested.set()

    def abort_all(self) -> None:
        """Close the listener, abort every connection, cancel every request."""
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.abort()
        for task in list(self.server_state.tasks):
            task.cancel()


class _HttpProtocol(H11Protocol):
    """uvicorn's protocol with a header timeout and the error responses of :class:`HttpApp`."""

    _header_timer: asyncio.TimerHandle | None = None
    _received_any = False
    _stopping = False
    _aborted = False
    _resets_on_close = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._wrapped_app, self.app = self.app, self._run_app
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_header_timer()
        is_sent = exc is None and not self._aborted and not self._request_in_progress()
        if self._resets_on_close and is_sent:
            # The socket is closed after this call.
            self._set_linger(FLUSH_ON_CLOSE)
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once; what has not been sent is lost."""
        self._aborted = True
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self._received_any = True
        if not self._request_in_progress():
            self._start_header_timer()
        super().data_received(data)
        if self._request_in_progress():
            self._cancel_header_timer()

    async def _run_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the application; reset the connection if its end would make a response look whole.

        A response to HTTP/1.0 without a length ends with its connection. Closed in its middle, by
        an error or by the end of the process, it would look complete. So the connection is reset,
        whoever closes it, until the response has been sent.
        """
        if scope["http_version"] == HTTP_1_0:
            self._resets_on_close = True
            self._set_linger(RESET_ON_CLOSE)
        try:
            await self._wrapped_app(scope, receive, send)
        except BaseException:
            if self._resets_on_close and self._request_in_progress():
                self.abort()
            raise

    def _set_linger(self, option: bytes) -> None:
        raw_socket = self.transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def shutdown(self) -> None:
        """Close the connection at a stop, unless a request has arrived in part.

        Such a request is answered, and the application then closes the connection; a caller that
        does not send the rest is stopped by the header timeout.
        """
        self._stopping = True
        if self._received_any and not self._request_in_progress():
            return
        super().shutdown()

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that h11 could not parse; called while the h11 error is handled."""
        error = sys.exc_info()[1]
        status_hint = getattr(error, "error_status_hint", 0)
        if status_hint == HEADERS_TOO_LARGE_STATUS:
            detail = f"headers: at most {MAX_HEADER_BYTES} bytes are allowed"
            self._send_refusal(Failure(ErrorKind.TOO_LARGE, detail))
        else:
            self._send_refusal(Failure(ErrorKind.MALFORMED, f"HTTP: {error}"))

    def on_response_complete(self) -> None:
        self._received_any = False
        super().on_response_complete()
        if self._stopping:
            self.transport.close()

    def _send_refusal(self, failure: Failure) -> None:
        self._cancel_header_timer()
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            call_ref = CallRef()
            headers = [
                ("content-type", JSON_TYPE),
                ("connection", "close"),
                *failure_headers(failure, call_ref),
            ]
            response = h11.Response(status_code=failure.answer.status, headers=headers)
            body = h11.Data(data=encode_json(failure_body(failure, call_ref)))
            for event in (response, body, h11.EndOfMessage()):
                self.transport.write(self.conn.send(event) or b"")
        self.transport.close()

    def _request_in_progress(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _start_header_timer(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self._on_header_timeout)

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if self._received_any:
            self._send_refusal(HEADER_TIMEOUT_FAILURE)
        else:
            self.transport.close()


def _set_tcp_timeouts(listener: socket.socket) -> None:
    """Let the kernel close connections to callers that vanished or have stopped reading.

    Accepted connections inherit these options. Without them a request of such a caller would wait
    forever: an idle connection never fails, and a full send buffer never drains.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        listener.setsockopt(socket.IPPROTO_TCP, option, value)


def _bind(address: str) -> socket.socket:
    """Return a bound socket.

    The protocol is passed explicitly, because asyncio sets TCP_NODELAY only on sockets whose
    protocol is TCP. With Nagle's algorithm a response waits some 40 ms for the caller's
    acknowledgement.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        _set_tcp_timeouts(listener)
        listener.bind((host, port))
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener
