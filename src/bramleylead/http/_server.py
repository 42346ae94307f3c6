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

from bramleylead.connection._accept import Acceptor
from bramleylead.connection._accept import Serve
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
HEADER_TIMEOUT_FAILURE = Failure(
    ErrorKind.DEADLINE_EXCEEDED, f"headers: incomplete after {HEADER_TIMEOUT_S:g} s: send faster"
)


@final
class HttpServer:
    """One HTTP listener of one node.

    :param app: the ASGI callable.
    :param waits_for_address: whether :meth:`serve` waits for an address that is in use.
    """

    def __init__(self, app: Callable[..., Any], *, waits_for_address: bool = False) -> None:
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
            timeout_keep_alive=HTTP_KEEP_ALIVE_S,
            h11_max_incomplete_event_size=MAX_HEADER_BYTES,
        )
        self._server = _Server(config, waits_for_address=waits_for_address)
        self._opening: anyio.CancelScope | None = None
        self._is_stopped = False
        self.closed = anyio.Event()

    async def serve(
        self, address: str, *, task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve ``host:port`` until stopped; port 0 selects a free port.

        ``task_status.started()`` receives the bound address. Cancelling aborts every connection.

        :raises OSError: if the address can't be used.
        """
        try:
            bound = await self._open(address)
            if bound:
                self._server.on_started = lambda: task_status.started(bound)
                await self._server.serve()
        finally:
            self._server.acceptor.close()
            self._server.abort_all()
            self.closed.set()

    def stop(self, *, grace_s: float) -> None:
        """Stop accepting and let :meth:`serve` return when the running requests have ended.

        :param grace_s: requests still running after this time are cancelled.
        """
        self._server.config.timeout_graceful_shutdown = grace_s  # type: ignore[assignment]
        self._exit()

    def kill(self) -> None:
        """Abort the listener, every connection and every request at once, like a process crash."""
        self._server.force_exit = True
        self._server.abort_all()
        self._exit()

    async def _open(self, address: str) -> str:
        """Return the bound address, or nothing if the server is stopped before it has one."""
        with anyio.CancelScope() as self._opening:
            if not self._is_stopped:
                return await self._server.acceptor.open(address)
        return ""

    def _exit(self) -> None:
        """End :meth:`serve`, also while it waits for its address or before it is called."""
        self._is_stopped = True
        self._server.request_exit()
        if self._opening is None:
            self.closed.set()
        else:
            self._opening.cancel()


class _Server(uvicorn.Server):
    """uvicorn without signal handlers and polling, and with this project's way to accept."""

    def __init__(self, config: uvicorn.Config, *, waits_for_address: bool) -> None:
        super().__init__(config)
        self._exit_requested = anyio.Event()
        self.acceptor = Acceptor(
            self._connect,
            waits_for_address=waits_for_address,
            prepare=_set_tcp_timeouts,
            watch=_watch_readable,
        )
        self.servers = []
        self._connecting: set[asyncio.Future[None]] = set()
        self.on_started: Callable[[], None] = lambda: None

    @contextlib.contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        """Install no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start; the acceptor has been opened."""
        await self.lifespan.startup()
        self.started = True
        self.on_started()

    async def main_loop(self) -> None:
        """Accept connections until :meth:`request_exit` is called."""
        await self.on_tick(0)
        async with anyio.create_task_group() as accepting:
            accepting.start_soon(self.acceptor.run, self._start_connecting)
            await self._exit_requested.wait()
            accepting.cancel_scope.cancel()
        self.acceptor.close()
        if self._connecting:
            await asyncio.wait(self._connecting)

    def request_exit(self) -> None:
        """Make :meth:`main_loop` return."""
        self.should_exit = True
        self._exit_requested.set()

    def abort_all(self) -> None:
        """Abort every connection, cancel every request."""
        for connection in list(self.server_state.connections):
            connection.transport.abort()
        for task in list(self.server_state.tasks):
            task.cancel()

    def _start_connecting(self, connect: Serve, connection: socket.socket) -> None:
        """Start a plain task, which costs less than one of a task group."""
        task = asyncio.ensure_future(connect(connection))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, connection: socket.socket) -> None:
        """Hand an accepted connection over to its protocol."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._new_protocol, connection)
        except BaseException:
            connection.close()
            raise

    def _new_protocol(self) -> _HttpProtocol:
        return _HttpProtocol(self.config, self.server_state, self.lifespan.state)


async def _watch_readable(watched: socket.socket, on_readable: Callable[[], None]) -> None:
    """Call a function whenever a socket is readable, until it raises an error of the system.

    Unlike anyio's way, it registers the socket once.
    """
    loop = asyncio.get_running_loop()
    failed = loop.create_future()

    def call() -> None:
        try:
            on_readable()
        except OSError as error:
            loop.remove_reader(watched)
            failed.set_exception(error)

    loop.add_reader(watched, call)
    try:
        await failed
    finally:
        loop.remove_reader(watched)


class _HttpProtocol(H11Protocol):
    """uvicorn's protocol with a header timeout and the error responses of :class:`HttpApp`."""

    _header_timer: asyncio.TimerHandle | None = None
    _received_any = False
    _stopping = False

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._wrapped_app, self.app = self.app, self._run_app
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._cancel_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        self._received_any = True
        if not self._request_in_progress():
            self._start_header_timer()
        super().data_received(data)
        if self._request_in_progress():
            self._cancel_header_timer()

    async def _run_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the application; reset the connection if its end would make a response look whole.

        A response to HTTP/1.0 without a length ends with its connection. Closed after an error, a
        response that was broken off would look like a complete one.
        """
        try:
            await self._wrapped_app(scope, receive, send)
        except BaseException:
            cycle = self.cycle
            is_broken_off = cycle.response_started and not cycle.response_complete
            if scope["http_version"] == HTTP_1_0 and is_broken_off:
                self._reset_connection()
            raise

    def _reset_connection(self) -> None:
        raw_socket = self.transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

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
