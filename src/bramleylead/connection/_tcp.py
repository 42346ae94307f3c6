"""Streams between nodes over TCP."""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import anyio
from anyio.abc import ByteStream
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from anyio.abc import TaskStatus

from bramleylead.connection._accept import Acceptor
from bramleylead.connection._listener import split_address

KEEPALIVE_PROBES = 2
KEEPALIVE_INTERVAL_S = 1
MAX_PORT = 65_535


@final
class TcpNetwork:
    """The real network.

    :param keepalive_idle_s: idle time, in whole seconds, before the kernel sends keepalive probes
        on streams opened here; a stream whose probes are not answered is closed. 0 keeps the
        kernel's defaults.
    :param waits_for_address: whether :meth:`serve` waits for an address that is in use.
    """

    def __init__(self, *, keepalive_idle_s: int = 0, waits_for_address: bool = False) -> None:
        self._waits_for_address = waits_for_address
        self._options = keepalive_options(keepalive_idle_s)

    async def connect(self, address: str) -> ByteStream:
        """Open a TCP stream to ``host:port`` with TCP_NODELAY.

        :raises OSError: if nothing answers there, or no connection to this address is possible.
        """
        host, port = _target(address)
        try:
            stream = await anyio.connect_tcp(host, port)
        except ValueError as error:
            raise OSError(f"invalid host in {address!r}: {error}") from error
        try:
            self._set_options(stream)
        except OSError:
            await anyio.aclose_forcefully(stream)
            raise
        return stream

    async def serve(
        self,
        address: str,
        handler: Callable[[ByteStream], Awaitable[None]],
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept TCP streams on ``host:port``; port 0 selects a free port.

        :raises OSError: if the address can't be used.
        """

        async def serve_connection(connection: socket.socket) -> None:
            async with await _wrap(connection) as stream:
                _set_nodelay(stream)
                await handler(stream)

        acceptor = Acceptor(serve_connection, waits_for_address=self._waits_for_address)
        bound = await acceptor.open(address)
        try:
            async with anyio.create_task_group() as connections:
                task_status.started(bound)
                await acceptor.run(connections.start_soon)
        finally:
            acceptor.close()

    def _set_options(self, stream: SocketStream) -> None:
        _set_nodelay(stream)
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        for level, option, value in self._options:
            raw_socket.setsockopt(level, option, value)


async def _wrap(connection: socket.socket) -> SocketStream:
    """Return an accepted connection as a stream, or close it.

    :raises OSError: if it has been reset already.
    """
    try:
        return await SocketStream.from_socket(connection)
    except BaseException as error:
        connection.close()
        if isinstance(error, ValueError):
            raise ConnectionResetError(errno.ECONNRESET, str(error)) from error
        raise


def _target(address: str) -> tuple[str, int]:
    """Split an address to connect to.

    :raises OSError: if it has no port to which a connection is possible.
    """
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise OSError(f"invalid address {address!r}: {error}") from error
    if not 0 < port <= MAX_PORT:
        raise OSError(f"invalid address {address!r}: the port must be from 1 to {MAX_PORT}")
    return host, port


def keepalive_options(keepalive_idle_s: int) -> list[tuple[int, int, int]]:
    """Return the socket options with which the kernel closes an unresponsive connection.

    :param keepalive_idle_s: idle time before the first probe, in whole seconds; 0 for no options.
    """
    if not keepalive_idle_s:
        return []
    tcp = socket.IPPROTO_TCP
    user_timeout_ms = (keepalive_idle_s + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S) * 1000
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, keepalive_idle_s),
        (tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    ]


def _set_nodelay(stream: SocketStream) -> None:
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
