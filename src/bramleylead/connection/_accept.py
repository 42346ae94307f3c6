"""Accepts connections, and goes on after every error that the system returns for it."""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from typing import final

import anyio
import structlog

from bramleylead.connection._error_log import ErrorLog
from bramleylead.connection._listener import bound_address
from bramleylead.connection._listener import error_name
from bramleylead.connection._listener import open_listener
from bramleylead.connection._listener import retry_delays
from bramleylead.connection._listener import wait_for_listener

MAX_ACCEPTED_AT_ONCE = 8
"""Accepted sockets take descriptors beyond the share of their server until they are counted."""
FIRST_PAUSE_S = 0.01
MAX_PAUSE_S = 0.5
BROKEN_LISTENER = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP})
"""Errors that no later call on the same socket is free of."""
SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

log = structlog.get_logger()

Serve = Callable[[socket.socket], Awaitable[None]]
StartTask = Callable[[Serve, socket.socket], object]
Watch = Callable[[socket.socket, Callable[[], None]], Awaitable[None]]


async def watch_readable(watched: socket.socket, on_readable: Callable[[], None]) -> None:
    """Call a function whenever a socket is readable, until it raises an error."""
    while True:
        await anyio.wait_readable(watched)
        on_readable()


@final
class Acceptor:
    """Accepts connections at one address; an error costs at most one of them.

    :param serve: serves one connection, and closes its socket.
    :param waits_for_address: whether :meth:`open` waits for an address that is in use.
    :param prepare: sets options of the listener before it is bound.
    :param watch: calls a function whenever a socket is readable, until that raises an error.
    :param close_idle: closes an idle connection, when the system has no room for another one.
    """

    def __init__(
        self,
        serve: Serve,
        *,
        waits_for_address: bool,
        prepare: Callable[[socket.socket], None] | None = None,
        watch: Watch = watch_readable,
        close_idle: Callable[[], object] = lambda: None,
    ) -> None:
        self._serve = serve
        self._waits_for_address = waits_for_address
        self._prepare = prepare
        self._watch = watch
        self._close_idle = close_idle
        self._pauses = retry_delays(FIRST_PAUSE_S, MAX_PAUSE_S)
        self._listener: socket.socket | None = None
        self._address = ""
        self._errors = ErrorLog("accept_failed")

    async def open(self, address: str) -> str:
        """Listen on ``host:port`` and return the bound address; port 0 selects a free port.

        :raises OSError: if the address can't be used.
        """
        open_now = wait_for_listener if self._waits_for_address else open_listener
        self._listener = await open_now(address, self._prepare)
        self._address = bound_address(address, self._listener)
        return self._address

    async def run(self, start_task: StartTask) -> None:
        """Accept connections until closed.

        A listener that is broken is replaced by another one at the same address.

        :param start_task: starts a task that serves one connection.
        """
        while self._listener is not None:
            try:
                await self._accept_all(self._listener, start_task)
            except anyio.ClosedResourceError:
                return
            except OSError as error:
                log.error("listener_failed", address=self._address, kind=error_name(error))
                self.close()
                self._listener = await wait_for_listener(self._address, self._prepare)

    def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            anyio.notify_closing(self._listener)
            self._listener.close()
            self._listener = None

    async def _accept_all(self, listener: socket.socket, start_task: StartTask) -> None:
        """Accept connections until the listener is broken.

        :raises anyio.ClosedResourceError: if it is closed here.
        :raises OSError: if no later call on it can succeed.
        """
        accept_pending = partial(self._accept_pending, listener, start_task)
        while self._listener is listener:
            try:
                await self._watch(listener, accept_pending)
            except OSError as error:
                if error.errno in BROKEN_LISTENER:
                    raise
                self._note(error)
                if error.errno in SHORTAGES:
                    self._close_idle()
                await anyio.sleep(next(self._pauses))

    def _accept_pending(self, listener: socket.socket, start_task: StartTask) -> None:
        """Accept the connections that have arrived.

        :raises OSError: if one can't be accepted.
        """
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                connection, _ = listener.accept()
            except BlockingIOError:
                break
            connection.setblocking(False)
            start_task(self._serve_safely, connection)
        self._pauses = retry_delays(FIRST_PAUSE_S, MAX_PAUSE_S)

    async def _serve_safely(self, connection: socket.socket) -> None:
        """Serve one connection; an error of it ends this connection only."""
        try:
            await self._serve(connection)
        except OSError as error:
            self._note(error)
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            log.exception("connection_failed", address=self._address, reason=reason)

    def _note(self, error: OSError) -> None:
        self._errors.record(error_name(error), address=self._address)
