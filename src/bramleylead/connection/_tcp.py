"""Streams between nodes over TCP."""

from __future__ import annotations

import socket
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import anyio
from anyio.abc import ByteStream
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from anyio.abc import TaskStatus

SILENT_PROBES = 2
SILENT_INTERVAL_S = 1


@final
class TcpNetwork:
    """The real network.

    :param silent_after_s: streams opened here are given up when the other end says nothing for
        longer, not even to the kernel's probes; 0 leaves that to the kernel's defaults.
    """

    def __init__(self, *, silent_after_s: int = 0) -> None:
        self._options = probe_options(silent_after_s)

    async def connect(self, address: str) -> ByteStream:
        """Open a TCP stream to ``host:port`` without Nagle's delay."""
        host, port = split_address(address)
        stream = await anyio.connect_tcp(host, port)
        _without_delay(stream)
        raw = stream.extra(SocketAttribute.raw_socket)
        for level, option, value in self._options:
            raw.setsockopt(level, option, value)
        return stream

    async def serve(
        self,
        address: str,
        handler: Callable[[ByteStream], Awaitable[None]],
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept TCP streams on ``host:port``; port 0 takes a free one."""
        host, port = split_address(address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        bound = listener.extra(SocketAttribute.local_port)

        async def accept(stream: SocketStream) -> None:
            async with stream:
                _without_delay(stream)
                await handler(stream)

        async with listener:
            task_status.started(f"{host}:{bound}")
            await listener.serve(accept)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host stands in square brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def probe_options(silent_after_s: int) -> list[tuple[int, int, int]]:
    """Return the socket options by which the kernel gives up a connection that went silent.

    :param silent_after_s: idle time before the first probe, in whole seconds; 0 for none.
    """
    if not silent_after_s:
        return []
    tcp = socket.IPPROTO_TCP
    limit_ms = (silent_after_s + SILENT_PROBES * SILENT_INTERVAL_S) * 1000
    return [
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, silent_after_s),
        (tcp, socket.TCP_KEEPINTVL, SILENT_INTERVAL_S),
        (tcp, socket.TCP_KEEPCNT, SILENT_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, limit_ms),
    ]


def _without_delay(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
