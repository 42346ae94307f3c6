"""Serves an ASGI application with uvicorn inside an anyio task, on the asyncio backend.

uvicorn installs no signal handlers here, so that several nodes can run in one process. It waits for
an event where it would by default poll ten times a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from collections.abc import Generator
from typing import Any
from typing import final

import anyio
import uvicorn
from anyio.abc import TaskStatus

from bramleylead.connection._accept import Acceptor
from bramleylead.connection._accept import Serve
from bramleylead.connection._connection_limit import CALLERS_SHARE
from bramleylead.connection._connection_limit import ConnectionLimit
from bramleylead.http._protocol import MAX_HEADER_BYTES
from bramleylead.http._protocol import HttpProtocol

HTTP_KEEP_ALIVE_S = 30
TCP_USER_TIMEOUT_MS = 30_000
TCP_KEEPALIVE_IDLE_S = 15
TCP_KEEPALIVE_INTERVAL_S = 5
TCP_KEEPALIVE_PROBES = 3


@final
class HttpServer:
    """One HTTP listener of one node.

    :param app: the ASGI callable.
    :param waits_for_address: whether :meth:`serve` waits for an address that is in use.
    :param share: of the process's descriptors, beyond which idle connections are closed.
    """

    def __init__(
        self,
        app: Callable[..., Any],
        *,
        waits_for_address: bool = False,
        share: float = CALLERS_SHARE,
    ) -> None:
        config = uvicorn.Config(
            app,
            interface="asgi3",
            http=HttpProtocol,
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
        self.connection_limit = ConnectionLimit(share)
        self._server = _Server(config, self.connection_limit, waits_for_address=waits_for_address)
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
        if not self._is_stopped:
            self.closed = anyio.Event()
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

    def __init__(
        self, config: uvicorn.Config, connection_limit: ConnectionLimit, *, waits_for_address: bool
    ) -> None:
        super().__init__(config)
        self._connection_limit = connection_limit
        self._exit_requested = anyio.Event()
        self.acceptor = Acceptor(
            self._connect,
            waits_for_address=waits_for_address,
            prepare=_set_tcp_timeouts,
            watch=_watch_readable,
            close_idle=connection_limit.close_idle,
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
            connection.abort()
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

    def _new_protocol(self) -> HttpProtocol:
        return HttpProtocol(
            self.config, self.server_state, self.lifespan.state, self._connection_limit
        )


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
