"""A proxy before a replica whose machine goes dark: open connections fall silent, new ones hang."""

from __future__ import annotations

import socket
from contextlib import AsyncExitStack

import anyio
from anyio.abc import SocketStream
from anyio.abc import TaskGroup
from deployment import HOST

BACKLOG = 128
ENDS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class DarkProxy:
    """Passes bytes on until :meth:`go_dark`."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._tasks: TaskGroup | None = None
        self._accepting: anyio.CancelScope | None = None
        self._is_dark = False
        self._listener = socket.socket()
        self._queued: list[socket.socket] = []
        self.address = ""

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        self._listener.bind((HOST, 0))
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        stack.callback(self._close)
        self._tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(self._tasks.cancel_scope.cancel)
        self._tasks.start_soon(self._accept)

    def go_dark(self) -> None:
        """Pass nothing on any more; a full queue lets the kernel drop what opens a connection."""
        self._is_dark = True
        assert self._accepting is not None
        self._accepting.cancel()
        self._listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._queued.append(filler)

    def _close(self) -> None:
        for opened in [self._listener, *self._queued]:
            opened.close()

    async def _accept(self) -> None:
        assert self._tasks is not None
        with anyio.CancelScope() as self._accepting:
            while True:
                await anyio.wait_readable(self._listener)
                accepted, _ = self._listener.accept()
                near = await SocketStream.from_socket(accepted)
                self._tasks.start_soon(self._serve, near)

    async def _serve(self, near: SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        far = await anyio.connect_tcp(host, int(port))
        async with near, far, anyio.create_task_group() as tasks:
            tasks.start_soon(self._pass, near, far, tasks)
            tasks.start_soon(self._pass, far, near, tasks)

    async def _pass(self, source: SocketStream, sink: SocketStream, tasks: TaskGroup) -> None:
        while True:
            try:
                data = await source.receive()
                if not self._is_dark:
                    await sink.send(data)
            except ENDS:
                if self._is_dark:
                    await anyio.sleep_forever()
                tasks.cancel_scope.cancel()
                return
