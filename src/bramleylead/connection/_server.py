"""The serving side of calls between nodes."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import final

import anyio
import structlog
from anyio.abc import ByteStream
from anyio.abc import TaskGroup

from bramleylead.connection._codec import MessageError
from bramleylead.connection._codec import from_plain
from bramleylead.connection._frames import Frame
from bramleylead.connection._frames import FrameKind
from bramleylead.connection._frames import FrameStream
from bramleylead.connection._handshake import answer_greeting
from bramleylead.connection._rpc import Reply
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure

HANDSHAKE_TIMEOUT_S = 2.0
SILENT_CHECK_S = 5.0
SILENT_AFTER_S = 20.0
CALLS_LIMIT = 10_000

log = structlog.get_logger()

Handler = Callable[[Any, Reply], Awaitable[None]]


@final
class PeerServer:
    """Serves calls of other nodes: one handler a message class.

    :param coalesce_s: how long an answer's message that is not urgent waits for others.
    """

    def __init__(self, *, node: str, cluster_key: str, coalesce_s: float = 0.0) -> None:
        self._node = node
        self._cluster_key = cluster_key
        self._coalesce_s = coalesce_s
        self._handlers: dict[type, Handler] = {}
        self._running = 0
        self._idle = anyio.Event()
        self._draining = False
        self.bad_frames = 0
        self.handler_errors = 0
        self.connections = 0

    def handle(self, message_class: type, handler: Handler) -> None:
        """Register the handler of one message class.

        :raises ValueError: if it has one already.
        """
        if message_class in self._handlers:
            raise ValueError(f"{message_class.__name__} has a handler already")
        self._handlers[message_class] = handler

    async def drain(self, *, timeout_s: float) -> bool:
        """Refuse new calls and let the running ones end; return whether all did in time."""
        self._draining = True
        with anyio.move_on_after(timeout_s):
            while self._running:
                await self._idle.wait()
        return self._running == 0

    async def serve_stream(self, stream: ByteStream) -> None:
        """Serve one connection until it ends; a bad frame ends it and harms no other."""
        frames = FrameStream(stream, coalesce_s=self._coalesce_s)
        self.connections += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(frames.run_writer)
                await self._serve_frames(frames, tasks)
                tasks.cancel_scope.cancel()
        except* MessageError as errors:
            self.bad_frames += 1
            log.warning("peer_stream_closed", reason=str(errors.exceptions[0]))
        except* (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        finally:
            frames.close()
            self.connections -= 1

    async def _serve_frames(self, frames: FrameStream, tasks: TaskGroup) -> None:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_S):
            peer = await answer_greeting(frames, node=self._node, key=self._cluster_key)
        connection = _Connection(frames, peer, tasks)
        tasks.start_soon(connection.end_when_silent)
        while True:
            frame = await frames.receive()
            connection.last_heard = anyio.current_time()
            if frame.kind is FrameKind.PING:
                frames.send_nowait(Frame(0, FrameKind.PONG, None))
            elif frame.kind is FrameKind.OPEN:
                self._open(frame, connection)
            elif frame.kind is FrameKind.HELLO:
                raise MessageError("a handshake came after the handshake")
            elif frame.call in connection.calls:
                connection.calls[frame.call].take_frame(frame)

    def _open(self, frame: Frame, connection: _Connection) -> None:
        request = from_plain(frame.body)
        reply = Reply(frame.call, connection.frames, connection.peer)
        connection.calls[frame.call] = reply
        connection.tasks.start_soon(self._run_call, request, reply, connection)

    async def _run_call(self, request: Any, reply: Reply, connection: _Connection) -> None:
        self._running += 1
        try:
            with reply.scope:
                await self._answer(request, reply, connection)
                end = Frame(reply.number, FrameKind.END, None)
                await connection.frames.send(end)
        finally:
            connection.calls.pop(reply.number, None)
            self._running -= 1
            if not self._running:
                self._idle.set()
                self._idle = anyio.Event()

    async def _answer(self, request: Any, reply: Reply, connection: _Connection) -> None:
        name = type(request).__name__
        handler = self._handlers.get(type(request))
        if self._draining:
            await reply.fail(Failure(ErrorKind.STOPPING, f"node {self._node} is stopping"))
        elif handler is None:
            await reply.fail(Failure(ErrorKind.MALFORMED, f"no handler for {name} on {self._node}"))
        elif len(connection.calls) > CALLS_LIMIT:
            detail = f"more than {CALLS_LIMIT} calls on one connection to {self._node}"
            await reply.fail(Failure(ErrorKind.OVERLOADED, detail))
        else:
            await self._run_handler(handler, request, reply)

    async def _run_handler(self, handler: Handler, request: Any, reply: Reply) -> None:
        try:
            await handler(request, reply)
        except Exception as error:
            self.handler_errors += 1
            log.exception("peer_call_failed", request=type(request).__name__)
            await reply.fail(Failure(ErrorKind.INTERNAL, f"{type(error).__name__}: {error}"))


class _Connection:
    """The server's side of one connection."""

    def __init__(self, frames: FrameStream, peer: str, tasks: TaskGroup) -> None:
        self.frames = frames
        self.peer = peer
        self.tasks = tasks
        self.calls: dict[int, Reply] = {}
        self.last_heard = anyio.current_time()

    async def end_when_silent(self) -> None:
        """End the connection once the client, which pings or closes, has said nothing for long."""
        while True:
            started = anyio.current_time()
            await anyio.sleep(SILENT_CHECK_S)
            now = anyio.current_time()
            was_paused = now - started > 2 * SILENT_CHECK_S
            if now - self.last_heard > SILENT_AFTER_S and not was_paused:
                self.tasks.cancel_scope.cancel()
