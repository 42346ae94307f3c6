"""A loopback proxy for faults on the way: delay, silence, one way only, resets."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum
from typing import final

import anyio
import structlog
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream

from bramleylead.connection._tcp import split_address

HOST = "127.0.0.1"
DELAY_S = 0.25
READ_BYTES = 65_536
CLOSED = -1
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
log = structlog.get_logger()

ENDS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class Way(StrEnum):
    """What happens to bytes."""

    OPEN = "open"
    DELAYED = "delayed"
    SILENT = "silent"
    DEAF = "deaf"
    """Requests pass, answers do not."""
    REFUSED = "refused"


@final
class Proxy:
    """One listener before a target; ``way`` holds for open and new connections alike."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.way = Way.OPEN
        self._streams: set[SocketStream] = set()

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Serve in this context."""
        listener = await anyio.create_tcp_listener(local_host=HOST)
        self.address = f"{HOST}:{listener.extra(SocketAttribute.local_port)}"
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            try:
                yield
            finally:
                tasks.cancel_scope.cancel()

    async def reset(self) -> None:
        """Reset all open connections."""
        for stream in list(self._streams):
            raw = stream.extra(SocketAttribute.raw_socket)
            if raw.fileno() == CLOSED:
                continue  # It ended while another one was being reset.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await anyio.aclose_forcefully(stream)

    async def _serve(self, near: SocketStream) -> None:
        if self.way is Way.REFUSED:
            await near.aclose()
            return
        host, port = split_address(self.target)
        try:
            far = await anyio.connect_tcp(host, port)
        except OSError:
            await near.aclose()
            return
        self._streams.add(near)
        try:
            async with near, far, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pass, near, far, tasks, (Way.SILENT,))
                tasks.start_soon(self._pass, far, near, tasks, (Way.SILENT, Way.DEAF))
        except* ENDS as ends:
            log.debug("proxy_stream_ended", target=self.target, reason=str(ends.exceptions[0]))
        finally:
            self._streams.discard(near)

    async def _pass(
        self,
        source: SocketStream,
        sink: SocketStream,
        tasks: anyio.abc.TaskGroup,
        held_by: tuple[Way, ...],
    ) -> None:
        while True:
            try:
                data = await source.receive(READ_BYTES)
            except ENDS:
                tasks.cancel_scope.cancel()
                return
            if self.way is Way.DELAYED:
                await anyio.sleep(DELAY_S)
            if self.way in held_by:
                continue  # lost for good: the connection stays silent
            await sink.send(data)
