"""A small HTTP server whose answers are bytes as they are given, also ones that are no answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream

from bramleylead.trials.site._proxy import ENDS
from bramleylead.trials.site._proxy import HOST

READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"
PART_GAP_S = 0.002


class RawRequest(NamedTuple):
    """A request as it was received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class RawAnswer(NamedTuple):
    """Bytes in pieces; ``keep`` leaves the connection open after them."""

    parts: tuple[bytes, ...]
    keep: bool


Answer = Callable[[RawRequest], Awaitable[RawAnswer]]


@asynccontextmanager
async def serve_raw(answer: Answer) -> AsyncIterator[str]:
    """Serve in this context; yields the address."""
    listener = await anyio.create_tcp_listener(local_host=HOST)

    async def serve(stream: SocketStream) -> None:
        try:
            async with stream:
                await _serve(stream, answer)
        except ENDS:
            return  # The other side has left.

    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        try:
            yield f"{HOST}:{listener.extra(SocketAttribute.local_port)}"
        finally:
            tasks.cancel_scope.cancel()


async def _serve(stream: SocketStream, answer: Answer) -> None:
    received = b""
    while True:
        while HEAD_END not in received:
            received += await stream.receive(READ_BYTES)
        head, _, rest = received.partition(HEAD_END)
        start, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", "0"))
        while len(rest) < length:
            rest += await stream.receive(READ_BYTES)
        method, target, _ = start.split(" ", 2)
        made = await answer(RawRequest(method, target, headers, rest[:length]))
        for part in made.parts:
            await stream.send(part)
            await anyio.sleep(PART_GAP_S)
        if not made.keep:
            return
        received = rest[length:]
