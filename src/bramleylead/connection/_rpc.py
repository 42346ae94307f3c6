"""Calls between nodes: each has a number, a request, and a stream of messages both ways.

Each direction of a call has a window: the sender waits once the receiver has that many bytes left
to consume. So a slow reader of one call holds up neither the other calls nor the memory.
"""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
import anyio.lowlevel
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
    """An answer that says no more than that the request was carried out."""


class PeerCall:
    """One call on a connection: messages out and in, until either side ends it."""

    def __init__(self, number: int, frames: FrameStream) -> None:
        self._number = number
        self._frames = frames
        self._send, self._receive = anyio.create_memory_object_stream[tuple[Any, int]](math.inf)
        self._unread_bytes = 0
        self._consumed_bytes = 0
        self._unconfirmed_bytes = 0
        self._confirmed = anyio.Event()
        self._ended = False

    @property
    def number(self) -> int:
        """The call's number on its connection."""
        return self._number

    async def send(self, item: tuple[Any, ...], *, urgent: bool = True) -> None:
        """Send one message to the other side; waits while its window is full.

        On a call that has ended it does nothing: :meth:`receive` tells of the end.

        :param urgent: whether it must not wait to travel with others.
        """
        while self._unconfirmed_bytes >= WINDOW_BYTES and not self._ended:
            await self._confirmed.wait()
        if self._ended:
            await anyio.lowlevel.checkpoint()
            return
        frame = Frame(self._number, FrameKind.ITEM, to_plain(item))
        self._unconfirmed_bytes += await self._frames.send(frame, urgent=urgent)

    async def receive(self) -> Any:
        """Return the next message from the other side.

        :raises anyio.EndOfStream: if the other side ended the call or the connection broke.
        """
        item, size = await self._receive.receive()
        self._note_read(size)
        return item

    def pending(self) -> list[Any]:
        """Take the messages that have arrived and were not received yet, without waiting."""
        items = []
        while self._receive.statistics().current_buffer_used:
            item, size = self._receive.receive_nowait()
            self._note_read(size)
            items.append(item)
        return items

    def _note_read(self, size: int) -> None:
        """Tell the sender, now and then, how much room there is again."""
        self._unread_bytes -= size
        self._consumed_bytes += size
        if self._consumed_bytes >= WINDOW_BYTES // 2 and not self._ended:
            frame = Frame(self._number, FrameKind.WINDOW, self._consumed_bytes)
            self._frames.send_nowait(frame)
            self._consumed_bytes = 0

    def __aiter__(self) -> AsyncIterator[Any]:
        return self

    async def __anext__(self) -> Any:
        try:
            return await self.receive()
        except anyio.EndOfStream:
            raise StopAsyncIteration from None

    def take_frame(self, frame: Frame) -> None:
        """Take in a frame of this call that the reader task got.

        :raises MessageError: if its body is no message, or the sender ignores the window.
        """
        if frame.kind is FrameKind.ITEM:
            self._take_item(from_plain(frame.body), frame.size)
        elif frame.kind is FrameKind.WINDOW:
            self._take_confirmation(frame.body)
        elif frame.kind is FrameKind.END:
            self.end()

    def end(self) -> None:
        """Take in that the call is over; what has arrived can still be read."""
        self._ended = True
        self._confirmed.set()
        self._send.close()

    def _take_item(self, item: Any, size: int) -> None:
        self._unread_bytes += size
        if self._unread_bytes > WINDOW_BYTES + MAX_FRAME_BYTES:
            raise MessageError(f"call {self._number} holds {self._unread_bytes} unread bytes")
        if not self._ended:
            self._send.send_nowait((item, size))

    def _take_confirmation(self, count: Any) -> None:
        if type(count) is not int or count < 0:
            raise MessageError("a window must be a number of bytes")
        self._unconfirmed_bytes -= count
        self._confirmed.set()
        self._confirmed = anyio.Event()


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

    def take_frame(self, frame: Frame) -> None:
        """Take in a frame; the caller's cancel ends the handler."""
        if frame.kind is FrameKind.CANCEL:
            self.scope.cancel()
        else:
            super().take_frame(frame)


async def first_answer(call: PeerCall, address: str) -> Result[Any, Failure]:
    """Return the first message of a call, or why there is none."""
    try:
        answer = await call.receive()
    except anyio.EndOfStream:
        return no_answer(address, "the connection broke")
    if isinstance(answer, Failed):
        return Err(Failure(answer.kind, answer.detail, answer.retry_after_s))
    return Ok(answer)


def no_answer(address: str, reason: str) -> Err[Failure]:
    """Return the failure of a request that a peer has not answered."""
    return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, f"peer {address}: {reason}"))
