"""Calls between nodes: each has a number, a request, and a stream of messages in both directions.

Each direction of a call has a flow-control window: the sender waits once the receiver has that many
unconsumed bytes. So a slow reader of one call neither blocks other calls nor exhausts memory.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
import anyio.lowlevel
from anyio import TaskHandle
from result import Err
from result import Ok
from result import Result

from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.connection._codec import MessageError
from bramleylead.connection._codec import from_plain
from bramleylead.connection._codec import message
from bramleylead.connection._codec import to_plain
from bramleylead.connection._frames import Frame
from bramleylead.connection._frames import FrameKind
from bramleylead.connection._frames import FrameStream
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure

WINDOW_BYTES = 262_144


@message(2)
class Failed(NamedTuple):
    """Ends a call with an error."""

    kind: ErrorKind
    detail: str
    retry_after_s: float


@message(3)
class Done(NamedTuple):
    """An empty answer: the request was carried out."""


class PeerCall:
    """One call on a connection: messages in both directions, until either side ends it."""

    def __init__(self, number: int, frames: FrameStream) -> None:
        self._number = number
        self._frames = frames
        self._received: deque[tuple[Any, int]] = deque()
        self._changed: anyio.Event | None = None
        self._unread_bytes = 0
        self._unreported_bytes = 0
        self._in_flight_bytes = 0
        self._ended = False

    @property
    def number(self) -> int:
        """The call's number on its connection."""
        return self._number

    async def send(self, item: tuple[Any, ...], *, urgent: bool = True) -> None:
        """Send one message to the other side; waits while the window is full.

        Does nothing on a call that has ended; :meth:`receive` reports the end.

        :param urgent: whether to send it without waiting for other messages to coalesce with.
        """
        while self._in_flight_bytes >= WINDOW_BYTES and not self._ended:
            await self._wait_changed()
        if self._ended:
            await anyio.lowlevel.checkpoint()
            return
        frame = Frame(self._number, FrameKind.ITEM, to_plain(item))
        self._in_flight_bytes += await self._frames.send(frame, urgent=urgent)

    async def receive(self) -> Any:
        """Return the next message from the other side.

        :raises anyio.EndOfStream: if the other side ended the call or the connection broke.
        """
        if self._received:
            await anyio.lowlevel.checkpoint()
        while not self._received:
            if self._ended:
                raise anyio.EndOfStream
            await self._wait_changed()
        item, size = self._received.popleft()
        self._consume(size)
        return item

    def receive_pending(self) -> list[Any]:
        """Receive the messages that have already arrived, without waiting."""
        items = []
        while self._received:
            item, size = self._received.popleft()
            self._consume(size)
            items.append(item)
        return items

    def _consume(self, size: int) -> None:
        """Report consumed bytes to the sender each time they reach half the window."""
        self._unread_bytes -= size
        self._unreported_bytes += size
        if self._unreported_bytes >= WINDOW_BYTES // 2 and not self._ended:
            frame = Frame(self._number, FrameKind.WINDOW, self._unreported_bytes)
            self._frames.send_nowait(frame)
            self._unreported_bytes = 0

    def __aiter__(self) -> AsyncIterator[Any]:
        return self

    async def __anext__(self) -> Any:
        try:
            return await self.receive()
        except anyio.EndOfStream:
            raise StopAsyncIteration from None

    def handle_frame(self, frame: Frame) -> None:
        """Process a frame of this call, as received by the reader task.

        :raises MessageError: if its body is not a message or the sender exceeds the window.
        """
        if frame.kind is FrameKind.ITEM:
            self._handle_item(from_plain(frame.body), frame.size)
        elif frame.kind is FrameKind.WINDOW:
            self._handle_window_update(frame.body)
        elif frame.kind is FrameKind.END:
            self.end()

    def end(self) -> None:
        """Mark the call as ended; messages that have arrived can still be read."""
        self._ended = True
        self._wake()

    async def _wait_changed(self) -> None:
        """Wait until a message or a window update arrives, or the call ends."""
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()

    def _wake(self) -> None:
        if self._changed is not None:
            self._changed.set()
            self._changed = None

    def _handle_item(self, item: Any, size: int) -> None:
        self._unread_bytes += size
        if self._unread_bytes > WINDOW_BYTES + MAX_FRAME_BYTES:
            raise MessageError(f"call {self._number} has {self._unread_bytes} unread bytes")
        if not self._ended:
            self._received.append((item, size))
            self._wake()

    def _handle_window_update(self, consumed_bytes: Any) -> None:
        if type(consumed_bytes) is not int or consumed_bytes < 0:
            raise MessageError("a window update must be a number of bytes")
        self._in_flight_bytes -= consumed_bytes
        self._wake()


@final
class Reply(PeerCall):
    """The server's side of one call.

    :ivar peer: the authenticated name of the calling node.
    :ivar task: runs the handler, unless that answers at once.
    """

    def __init__(self, number: int, frames: FrameStream, peer: str) -> None:
        super().__init__(number, frames)
        self.peer = peer
        self.task: TaskHandle[None] | None = None

    async def fail(self, failure: Failure) -> None:
        """Send a failure as the call's answer."""
        await self.send(Failed(*failure))

    def handle_frame(self, frame: Frame) -> None:
        """Process a frame; a cancel frame from the caller cancels the handler."""
        if frame.kind is not FrameKind.CANCEL:
            super().handle_frame(frame)
        elif self.task is not None:
            self.task.cancel()


async def first_answer(call: PeerCall, address: str) -> Result[Any, Failure]:
    """Return the first message of a call, or a failure if there is none."""
    try:
        answer = await call.receive()
    except anyio.EndOfStream:
        return no_answer(address, "the connection broke")
    if isinstance(answer, Failed):
        return Err(Failure(answer.kind, answer.detail, answer.retry_after_s))
    return Ok(answer)


def no_answer(address: str, reason: str) -> Err[Failure]:
    """Return the failure for a request that a peer has not answered."""
    return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, f"peer {address}: {reason}"))
