"""The server side of calls between nodes."""

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
from bramleylead.connection._connection_limit import NODES_SHARE
from bramleylead.connection._connection_limit import descriptor_share
from bramleylead.connection._frames import Frame
from bramleylead.connection._frames import FrameKind
from bramleylead.connection._frames import FrameStream
from bramleylead.connection._handshake import server_handshake
from bramleylead.connection._rpc import Reply
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure

HANDSHAKE_TIMEOUT_S = 2.0
SILENCE_CHECK_INTERVAL_S = 5.0
SILENCE_TIMEOUT_S = 20.0
MAX_CALLS_PER_CONNECTION = 10_000

log = structlog.get_logger()

Handler = Callable[[Any, Reply], Awaitable[None]]
Answer = Callable[[Any], tuple[Any, ...]]


@final
class PeerServer:
    """Serves calls of other nodes, with one handler per message class.

    :param coalesce_s: how long a reply message that is not urgent waits to be sent with others.
    :param max_unproven: connections that may be without a handshake at once; beyond it the oldest
        of them is closed.
    """

    def __init__(
        self,
        *,
        node: str,
        cluster_key: str,
        coalesce_s: float = 0.0,
        max_unproven: int | None = None,
    ) -> None:
        self._node = node
        self._cluster_key = cluster_key
        self._coalesce_s = coalesce_s
        self._max_unproven = max_unproven or descriptor_share(NODES_SHARE)
        self._unproven: dict[anyio.CancelScope, None] = {}
        self._handlers: dict[type, Handler] = {}
        self._answers: dict[type, Answer] = {}
        self._running_calls = 0
        self._idle = anyio.Event()
        self._draining = False
        self.bad_frames = 0
        self.handler_errors = 0
        self.connections = 0
        self.closed_unproven = 0

    def handle(self, message_class: type, handler: Handler) -> None:
        """Register the handler of one message class.

        :raises ValueError: if the class already has a handler.
        """
        if message_class in self._handlers:
            raise ValueError(f"{message_class.__name__} already has a handler")
        self._handlers[message_class] = handler

    def answer(self, message_class: type, answer: Answer) -> None:
        """Register a function that answers one message class at once, so that no task is needed.

        :raises ValueError: if the class already has a handler.
        """

        async def send_answer(request: Any, reply: Reply) -> None:
            await reply.send(answer(request))

        self.handle(message_class, send_answer)
        self._answers[message_class] = answer

    async def drain(self, *, timeout_s: float) -> bool:
        """Refuse new calls and wait for running ones; return whether all ended in time."""
        self._draining = True
        with anyio.move_on_after(timeout_s):
            while self._running_calls:
                await self._idle.wait()
        return self._running_calls == 0

    async def serve_stream(self, stream: ByteStream) -> None:
        """Serve one connection until it ends; an invalid frame closes this connection only."""
        frames = FrameStream(stream, coalesce_s=self._coalesce_s)
        self.connections += 1
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(frames.run_writer)
                await self._serve_frames(frames, task_group)
                task_group.cancel_scope.cancel()
        except* MessageError as errors:
            self.bad_frames += 1
            log.warning("peer_stream_closed", reason=str(errors.exceptions[0]))
        except* (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        finally:
            frames.close()
            self.connections -= 1

    async def _serve_frames(self, frames: FrameStream, task_group: TaskGroup) -> None:
        peer = await self._shake_hands(frames)
        if peer is None:
            return
        connection = _Connection(frames, peer, task_group)
        task_group.start_soon(connection.close_when_silent)
        while True:
            frame = await frames.receive()
            connection.last_received_at = anyio.current_time()
            if frame.kind is FrameKind.PING:
                frames.send_nowait(Frame(0, FrameKind.PONG, None))
            elif frame.kind is FrameKind.OPEN:
                await self._open_call(frame, connection)
            elif frame.kind is FrameKind.HELLO:
                raise MessageError("received a second handshake")
            elif frame.call in connection.calls:
                connection.calls[frame.call].handle_frame(frame)

    async def _shake_hands(self, frames: FrameStream) -> str | None:
        """Return the peer's name, or None if it did not come in time or others needed its place."""
        with anyio.move_on_after(HANDSHAKE_TIMEOUT_S) as scope:
            self._enter_unproven(scope)
            try:
                return await server_handshake(frames, node=self._node, key=self._cluster_key)
            finally:
                self._unproven.pop(scope, None)
        return None

    def _enter_unproven(self, scope: anyio.CancelScope) -> None:
        if len(self._unproven) >= self._max_unproven:
            oldest = next(iter(self._unproven))
            del self._unproven[oldest]
            oldest.cancel()
            self.closed_unproven += 1
        self._unproven[scope] = None

    async def _open_call(self, frame: Frame, connection: _Connection) -> None:
        request = from_plain(frame.body)
        reply = Reply(frame.call, connection.frames, connection.peer)
        connection.calls[frame.call] = reply
        if type(request) in self._answers:
            await self._run_call(request, reply, connection)
        else:
            reply.task = connection.task_group.start_soon(
                self._run_call, request, reply, connection
            )

    async def _run_call(self, request: Any, reply: Reply, connection: _Connection) -> None:
        self._running_calls += 1
        try:
            await self._dispatch(request, reply, connection)
            await connection.frames.send(Frame(reply.number, FrameKind.END, None))
        finally:
            connection.calls.pop(reply.number, None)
            self._running_calls -= 1
            if not self._running_calls:
                self._idle.set()
                self._idle = anyio.Event()

    async def _dispatch(self, request: Any, reply: Reply, connection: _Connection) -> None:
        name = type(request).__name__
        handler = self._handlers.get(type(request))
        if self._draining:
            await reply.fail(Failure(ErrorKind.STOPPING, f"node {self._node} is stopping"))
        elif handler is None:
            await reply.fail(Failure(ErrorKind.MALFORMED, f"no handler for {name} on {self._node}"))
        elif len(connection.calls) > MAX_CALLS_PER_CONNECTION:
            detail = f"more than {MAX_CALLS_PER_CONNECTION} calls on one connection to {self._node}"
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
    """The server side of one connection."""

    def __init__(self, frames: FrameStream, peer: str, task_group: TaskGroup) -> None:
        self.frames = frames
        self.peer = peer
        self.task_group = task_group
        self.calls: dict[int, Reply] = {}
        self.last_received_at = anyio.current_time()

    async def close_when_silent(self) -> None:
        """Close the connection after a long silence; a live client pings it or closes it."""
        while True:
            started = anyio.current_time()
            await anyio.sleep(SILENCE_CHECK_INTERVAL_S)
            now = anyio.current_time()
            was_paused = now - started > 2 * SILENCE_CHECK_INTERVAL_S
            if now - self.last_received_at > SILENCE_TIMEOUT_S and not was_paused:
                self.task_group.cancel_scope.cancel()
