"""Calls between nodes: each has a number, a request, and a stream of messages both ways.

One task reads a connection and one writes it. A stream that stays silent for longer than its
heartbeat allows is given up, and the calls on it end with ``OWNER_UNAVAILABLE``; the next call
opens a new stream.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Any
from typing import NamedTuple
from typing import Self
from typing import final

import anyio
import structlog
from anyio.abc import ByteStream
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.connection._codec import MessageError
from bramleylead.connection._codec import from_plain
from bramleylead.connection._codec import message
from bramleylead.connection._codec import to_plain
from bramleylead.connection._frames import Frame
from bramleylead.connection._frames import FrameKind
from bramleylead.connection._frames import FrameStream
from bramleylead.connection._network import Network
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure

HEARTBEAT_S = 1.0
SILENT_AFTER_S = 3.0
CONNECT_TIMEOUT_S = 1.0
PROTOCOL_VERSION = 1

log = structlog.get_logger()


@message(1)
class Hello(NamedTuple):
    """First message of a connection: who speaks, and the proof of the cluster key."""

    version: int
    node: str
    proof: str


@message(2)
class Failed(NamedTuple):
    """Ends a call with an error."""

    kind: ErrorKind
    detail: str
    retry_after_s: float


@message(3)
class Done(NamedTuple):
    """An answer that says no more than that the request was carried out."""


class PeerCall:
    """One call on a connection: messages out and in, until either side ends it."""

    def __init__(self, number: int, frames: FrameStream) -> None:
        self._number = number
        self._frames = frames
        self._send, self._receive = anyio.create_memory_object_stream[Any](math.inf)

    async def send(self, item: tuple[Any, ...]) -> None:
        """Send one message to the other side."""
        await self._frames.send(Frame(self._number, FrameKind.ITEM, to_plain(item)))

    async def receive(self) -> Any:
        """Return the next message from the other side.

        :raises anyio.EndOfStream: if the other side ended the call or the connection broke.
        """
        return await self._receive.receive()

    def pending(self) -> list[Any]:
        """Take the messages that have arrived and were not received yet, without waiting."""
        items = []
        while self._receive.statistics().current_buffer_used:
            items.append(self._receive.receive_nowait())
        return items

    def __aiter__(self) -> AsyncIterator[Any]:
        return self._receive.__aiter__()

    def deliver(self, item: Any) -> None:
        """Take in a message that the reader task got."""
        self._send.send_nowait(item)

    def end(self) -> None:
        """Take in that the other side will send no more."""
        self._send.close()


@final
class Reply(PeerCall):
    """The server's side of one call; ``peer`` is the authenticated name of the calling node."""

    def __init__(self, number: int, frames: FrameStream, peer: str) -> None:
        super().__init__(number, frames)
        self.peer = peer
        self.scope = anyio.CancelScope()

    async def fail(self, failure: Failure) -> None:
        """Send a failure as the call's answer."""
        await self.send(Failed(*failure))


Handler = Callable[[Any, Reply], Awaitable[None]]


@final
class PeerServer:
    """Serves calls of other nodes: one handler a message class."""

    def __init__(self, *, node: str, cluster_key: str) -> None:
        self._node = node
        self._cluster_key = cluster_key
        self._handlers: dict[type, Handler] = {}
        self.bad_frames = 0

    def handle(self, message_class: type, handler: Handler) -> None:
        """Register the handler of one message class.

        :raises ValueError: if it has one already.
        """
        if message_class in self._handlers:
            raise ValueError(f"{message_class.__name__} has a handler already")
        self._handlers[message_class] = handler

    async def serve_stream(self, stream: ByteStream) -> None:
        """Serve one connection until it ends; a bad frame ends it and harms no other."""
        frames = FrameStream(stream)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(frames.run_writer)
                await self._read_calls(frames, tasks)
                tasks.cancel_scope.cancel()
        except* MessageError as errors:
            self.bad_frames += 1
            log.warning("peer_stream_closed", reason=str(errors.exceptions[0]))
        except* (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass

    async def _read_calls(self, frames: FrameStream, tasks: TaskGroup) -> None:
        peer = await self._read_hello(frames)
        calls: dict[int, Reply] = {}
        while True:
            frame = await frames.receive()
            if frame.kind is FrameKind.PING:
                frames.send_nowait(Frame(0, FrameKind.PONG, None))
            elif frame.kind is FrameKind.OPEN:
                reply = Reply(frame.call, frames, peer)
                calls[frame.call] = reply
                tasks.start_soon(self._run_call, from_plain(frame.body), reply, calls)
            elif frame.call in calls:
                _pass_on(frame, calls[frame.call])

    async def _read_hello(self, frames: FrameStream) -> str:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            frame = await frames.receive()
        hello = from_plain(frame.body)
        if not isinstance(hello, Hello) or hello.proof != self._cluster_key:
            raise MessageError("a connection must begin with a Hello that proves the cluster key")
        return hello.node

    async def _run_call(self, request: Any, reply: Reply, calls: dict[int, Reply]) -> None:
        with reply.scope:
            try:
                await self._dispatch(request, reply)
            except anyio.get_cancelled_exc_class():
                raise
            except Exception as error:
                log.exception("peer_call_failed", request=type(request).__name__)
                await reply.fail(Failure(ErrorKind.INTERNAL, f"{type(error).__name__}: {error}"))
            await reply._frames.send(Frame(reply._number, FrameKind.END, None))
        calls.pop(reply._number, None)

    async def _dispatch(self, request: Any, reply: Reply) -> None:
        handler = self._handlers.get(type(request))
        if handler is None:
            name = type(request).__name__
            await reply.fail(Failure(ErrorKind.MALFORMED, f"no handler for {name} on {self._node}"))
            return
        await handler(request, reply)


def _pass_on(frame: Frame, call: PeerCall) -> None:
    if frame.kind is FrameKind.ITEM:
        call.deliver(from_plain(frame.body))
    elif frame.kind is FrameKind.END:
        call.end()
    elif frame.kind is FrameKind.CANCEL and isinstance(call, Reply):
        call.scope.cancel()


class _Connection:
    """The client's side of one connection."""

    def __init__(self, frames: FrameStream) -> None:
        self.frames = frames
        self.calls: dict[int, PeerCall] = {}
        self.next_call = 1
        self.last_heard = anyio.current_time()
        self.scope = anyio.CancelScope()

    def open(self, request: tuple[Any, ...]) -> PeerCall:
        call = PeerCall(self.next_call, self.frames)
        self.calls[self.next_call] = call
        self.next_call += 1
        self.frames.send_nowait(Frame(call._number, FrameKind.OPEN, to_plain(request)))
        return call

    def close_calls(self) -> None:
        for call in self.calls.values():
            call.end()
        self.calls.clear()


@final
class PeerClient:
    """Calls other nodes over one connection a peer, replaced when it goes silent."""

    def __init__(self, network: Network, *, node: str, cluster_key: str) -> None:
        self._network = network
        self._node = node
        self._cluster_key = cluster_key
        self._connections: dict[str, _Connection] = {}
        self._opening: dict[str, anyio.Lock] = {}
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(kind, error, trace)

    async def request(
        self, address: str, item: tuple[Any, ...], *, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send one message and return the single answer.

        An ``Err`` of kind ``OWNER_UNAVAILABLE`` means that no answer came: the request may have
        been carried out.
        """
        with anyio.move_on_after(timeout_s):
            async with self.stream(address, item) as opened:
                if isinstance(opened, Err):
                    return opened
                return await first_answer(opened.ok_value, address)
        return _no_answer(address, f"no answer within {timeout_s} s")

    @asynccontextmanager
    async def stream(
        self, address: str, item: tuple[Any, ...]
    ) -> AsyncIterator[Result[PeerCall, Failure]]:
        """Open a call that stays open; leaving the context cancels it at the other side."""
        connection = await self._connection(address)
        if connection is None:
            yield _no_answer(address, "can't connect")
            return
        call = connection.open(item)
        try:
            yield Ok(call)
        finally:
            if connection.calls.pop(call._number, None) is not None:
                connection.frames.send_nowait(Frame(call._number, FrameKind.CANCEL, None))

    async def _connection(self, address: str) -> _Connection | None:
        lock = self._opening.setdefault(address, anyio.Lock())
        async with lock:
            existing = self._connections.get(address)
            if existing is not None:
                return existing
            return await self._connect(address)

    async def _connect(self, address: str) -> _Connection | None:
        assert self._tasks is not None, "PeerClient is used outside its context"
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._network.connect(address)
        except (OSError, TimeoutError):
            return None
        connection = _Connection(FrameStream(stream))
        hello = Hello(PROTOCOL_VERSION, self._node, self._cluster_key)
        connection.frames.send_nowait(Frame(0, FrameKind.HELLO, to_plain(hello)))
        self._connections[address] = connection
        self._tasks.start_soon(self._run, address, connection, stream)
        return connection

    async def _run(self, address: str, connection: _Connection, stream: ByteStream) -> None:
        try:
            async with stream, anyio.create_task_group() as tasks:
                connection.scope = tasks.cancel_scope
                tasks.start_soon(connection.frames.run_writer)
                tasks.start_soon(_heartbeat, connection)
                await _read_answers(connection)
        except* (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            pass
        except* MessageError as errors:
            log.warning("peer_stream_closed", peer=address, reason=str(errors.exceptions[0]))
        finally:
            if self._connections.get(address) is connection:
                del self._connections[address]
            connection.close_calls()


async def first_answer(call: PeerCall, address: str) -> Result[Any, Failure]:
    """Return the first message of a call, or why there is none."""
    try:
        answer = await call.receive()
    except anyio.EndOfStream:
        return _no_answer(address, "the connection broke")
    if isinstance(answer, Failed):
        return Err(Failure(answer.kind, answer.detail, answer.retry_after_s))
    return Ok(answer)


async def _read_answers(connection: _Connection) -> None:
    while True:
        frame = await connection.frames.receive()
        connection.last_heard = anyio.current_time()
        call = connection.calls.get(frame.call)
        if call is None:
            continue
        _pass_on(frame, call)
        if frame.kind is FrameKind.END:
            connection.calls.pop(frame.call, None)


async def _heartbeat(connection: _Connection) -> None:
    while True:
        await anyio.sleep(HEARTBEAT_S)
        if anyio.current_time() - connection.last_heard > SILENT_AFTER_S:
            connection.scope.cancel()
            return
        connection.frames.send_nowait(Frame(0, FrameKind.PING, None))


def _no_answer(address: str, reason: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, f"peer {address}: {reason}"))
