"""Length-prefixed msgpack frames on a byte stream, coalesced on the way out.

A frame is a 4-byte big-endian length and ``[call, kind, message]``; many calls share one stream.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
import msgpack
from anyio.abc import ByteStream

from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.connection._codec import MessageError

LENGTH_BYTES = 4
READ_BYTES = 65_536
QUEUED_BYTES_LIMIT = 8_000_000


class FrameKind(IntEnum):
    """What a frame means for the call that it names."""

    OPEN = 0
    ITEM = 1
    END = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    HELLO = 6
    WINDOW = 7
    """The body is a number of bytes that the receiver has consumed."""


class Frame(NamedTuple):
    """One frame; ``body`` is a plain msgpack value, ``size`` its length on the wire."""

    call: int
    kind: FrameKind
    body: Any
    size: int = 0


@final
class FrameStream:
    """Reads and writes frames on one byte stream.

    Writers only append to a buffer; :meth:`run_writer` sends what has gathered, so that frames
    queued together travel in one system call. A frame that is not urgent waits for others.

    :param coalesce_s: how long a frame that is not urgent may wait.
    """

    def __init__(
        self,
        stream: ByteStream,
        *,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        coalesce_s: float = 0.0,
    ) -> None:
        self._stream = stream
        self._max_frame_bytes = max_frame_bytes
        self._coalesce_s = coalesce_s
        self._inbox = bytearray()
        self._outbox = bytearray()
        self._wake = anyio.Event()
        self._urgent = anyio.Event()
        self._drained = anyio.Event()
        self._sending = False
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_sent = 0
        self.writes = 0

    async def send(self, frame: Frame, *, urgent: bool = True) -> int:
        """Queue a frame and return its size; waits only while the queue is over its limit."""
        while len(self._outbox) > QUEUED_BYTES_LIMIT and not self.closed:
            await self._drained.wait()
        return self.send_nowait(frame, urgent=urgent)

    def send_nowait(self, frame: Frame, *, urgent: bool = True) -> int:
        """Queue a frame without waiting, and return its size; on a closed stream it is dropped.

        :raises MessageError: if it is larger than a frame may be.
        """
        body = msgpack.packb([frame.call, int(frame.kind), frame.body])
        if len(body) > self._max_frame_bytes:
            raise MessageError(
                f"frame of {len(body)} bytes; at most {self._max_frame_bytes} are sent"
            )
        if self.closed:
            return len(body)
        self._outbox += len(body).to_bytes(LENGTH_BYTES, "big")
        self._outbox += body
        self.frames_sent += 1
        self._wake.set()
        if urgent:
            self._urgent.set()
        return len(body)

    async def wait_sent(self) -> None:
        """Wait until everything that was queued has been sent."""
        while (self._outbox or self._sending) and not self.closed:
            await self._drained.wait()

    def close(self) -> None:
        """Drop what is queued and release who waits; the byte stream is its owner's to close."""
        self.closed = True
        self._outbox.clear()
        self._drained.set()

    async def run_writer(self) -> None:
        """Send queued frames until the stream breaks."""
        while True:
            await self._wake.wait()
            if self._coalesce_s > 0 and not self._urgent.is_set():
                with anyio.move_on_after(self._coalesce_s):
                    await self._urgent.wait()
            await self._flush()

    async def _flush(self) -> None:
        self._wake = anyio.Event()
        self._urgent = anyio.Event()
        data = bytes(self._outbox)
        self._outbox.clear()
        if data:
            self._sending = True
            await self._stream.send(data)
            self._sending = False
            self.bytes_sent += len(data)
            self.writes += 1
        self._drained.set()
        self._drained = anyio.Event()

    async def receive(self) -> Frame:
        """Read the next frame.

        :raises MessageError: if the frame is oversized or malformed.
        :raises anyio.EndOfStream: if the peer closed.
        """
        header = await self._read(LENGTH_BYTES)
        length = int.from_bytes(header, "big")
        if length > self._max_frame_bytes:
            raise MessageError(f"frame of {length} bytes; at most {self._max_frame_bytes} are read")
        return _parse(await self._read(length))

    async def _read(self, count: int) -> bytes:
        while len(self._inbox) < count:
            data = await self._stream.receive(READ_BYTES)
            self.bytes_received += len(data)
            self._inbox += data
        taken = bytes(self._inbox[:count])
        del self._inbox[:count]
        return taken


def _parse(body: bytes) -> Frame:
    try:
        call, kind, inner = msgpack.unpackb(body)
        if type(call) is not int:
            raise ValueError("the call number must be an integer")
        return Frame(call, FrameKind(kind), inner, len(body))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError(f"malformed frame: {error}") from error
