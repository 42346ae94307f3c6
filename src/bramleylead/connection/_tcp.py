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


@final
class TcpNetwork:
    """The real network."""

    async def connect(self, address: str) -> ByteStream:
        """Open a TCP stream to ``host:port`` without Nagle's delay."""
        host, port = split_address(address)
        stream = await anyio.connect_tcp(host, port)
        _without_delay(stream)
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


def _without_delay(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
