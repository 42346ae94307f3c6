"""Length-prefixed msgpack frames on a byte stream, with coalesced writes.

A frame is a 4-byte big-endian length and ``[call, kind, message]``; one stream carries
many calls.
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
READ_CHUNK_BYTES = 65_536
MAX_QUEUED_BYTES = 8_000_000


class FrameKind(IntEnum):
    """What a frame means for its call."""

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
    """One frame; ``body`` is a plain msgpack value, ``size`` is its length on the wire."""

    call: int
    kind: FrameKind
    body: Any
    size: int = 0


@final
class FrameStream:
    """Reads and writes frames on one byte stream.

    Senders only append to a buffer; :meth:`run_writer` sends its content, so that frames queued
    together are sent in one system call. A frame that is not urgent waits for others.

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
        self._receive_buffer = bytearray()
        self._send_buffer = bytearray()
        self._queued = anyio.Event()
        self._urgent_queued = anyio.Event()
        self._drained: anyio.Event | None = None
        self._sending = False
        self.closed = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_sent = 0
        self.writes = 0

    async def send(self, frame: Frame, *, urgent: bool = True) -> int:
        """Queue a frame and return its size; waits only while the queue exceeds its limit."""
        while len(self._send_buffer) > MAX_QUEUED_BYTES and not self.closed:
            await self._wait_drained()
        return self.send_nowait(frame, urgent=urgent)

    def send_nowait(self, frame: Frame, *, urgent: bool = True) -> int:
        """Queue a frame without waiting and return its size; a closed stream discards it.

        :raises MessageError: if the frame exceeds the maximum size, or can't be encoded.
        """
        try:
            body = msgpack.packb([frame.call, int(frame.kind), frame.body])
        except (ValueError, OverflowError, TypeError) as error:
            raise MessageError(f"not encodable: {type(error).__name__}: {error}") from error
        if len(body) > self._max_frame_bytes:
            raise MessageError(
                f"frame of {len(body)} bytes; at most {self._max_frame_bytes} are allowed"
            )
        if self.closed:
            return len(body)
        self._send_buffer += len(body).to_bytes(LENGTH_BYTES, "big")
        self._send_buffer += body
        self.frames_sent += 1
        self._queued.set()
        if urgent:
            self._urgent_queued.set()
        return len(body)

    async def wait_sent(self) -> None:
        """Wait until all queued frames have been sent."""
        while (self._send_buffer or self._sending) and not self.closed:
            await self._wait_drained()

    def close(self) -> None:
        """Discard queued frames and wake waiting senders; does not close the byte stream."""
        self.closed = True
        self._send_buffer.clear()
        self._wake_drained()

    async def run_writer(self) -> None:
        """Send queued frames until the stream breaks."""
        while True:
            await self._queued.wait()
            if self._coalesce_s > 0 and not self._urgent_queued.is_set():
                with anyio.move_on_after(self._coalesce_s):
                    await self._urgent_queued.wait()
            await self._flush()

    async def _flush(self) -> None:
        self._queued = anyio.Event()
        if self._coalesce_s > 0:
            self._urgent_queued = anyio.Event()
        data = bytes(self._send_buffer)
        self._send_buffer.clear()
        if data:
            self._sending = True
            await self._stream.send(data)
            self._sending = False
            self.bytes_sent += len(data)
            self.writes += 1
        self._wake_drained()

    async def _wait_drained(self) -> None:
        """Wait for the next flush, or for the end of the stream."""
        if self._drained is None:
            self._drained = anyio.Event()
        await self._drained.wait()

    def _wake_drained(self) -> None:
        if self._drained is not None:
            self._drained.set()
            self._drained = None

    async def receive(self, *, max_bytes: int | None = None) -> Frame:
        """Read the next frame.

        :param max_bytes: allows less than the maximum size of the stream.
        :raises MessageError: if the frame is oversized or malformed.
        :raises anyio.EndOfStream: if the peer closed.
        """
        header = await self._read_exactly(LENGTH_BYTES)
        length = int.from_bytes(header, "big")
        allowed = self._max_frame_bytes if max_bytes is None else max_bytes
        if length > allowed:
            raise MessageError(f"frame of {length} bytes; at most {allowed} are allowed")
        return _parse_frame(await self._read_exactly(length))

    async def _read_exactly(self, count: int) -> bytes:
        while len(self._receive_buffer) < count:
            data = await self._stream.receive(READ_CHUNK_BYTES)
            self.bytes_received += len(data)
            self._receive_buffer += data
        result = bytes(self._receive_buffer[:count])
        del self._receive_buffer[:count]
        return result


def _parse_frame(body: bytes) -> Frame:
    try:
        call, kind, body_value = msgpack.unpackb(body)
        if type(call) is not int:
            raise ValueError("the call number must be an integer")
        return Frame(call, FrameKind(kind), body_value, len(body))
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise MessageError(f"malformed frame: {error}") from error
