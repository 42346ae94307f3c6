"""The client side of one connection to another node."""

from __future__ import annotations

from typing import Any
from typing import final

import anyio
from anyio.abc import ByteStream

from bramleylead.connection._codec import to_plain
from bramleylead.connection._frames import Frame
from bramleylead.connection._frames import FrameKind
from bramleylead.connection._frames import FrameStream
from bramleylead.connection._rpc import PeerCall


@final
class PeerConnection:
    """The client side of one connection, with the calls that are under way on it."""

    def __init__(self, stream: ByteStream, *, coalesce_s: float) -> None:
        self.stream = stream
        self.frames = FrameStream(stream, coalesce_s=coalesce_s)
        self.calls: dict[int, PeerCall] = {}
        self.next_call = 1
        self.last_received_at = anyio.current_time()
        self.last_used_at = self.last_received_at
        self.last_ping_at = self.last_received_at
        self.awaiting_reply_since: float | None = None
        self.scope = anyio.CancelScope()
        self.closed = False

    def open(self, request: tuple[Any, ...]) -> PeerCall:
        """Send a request.

        :raises MessageError: if no frame can carry it.
        """
        call = PeerCall(self.next_call, self.frames)
        self.frames.send_nowait(Frame(call.number, FrameKind.OPEN, to_plain(request)))
        self.calls[call.number] = call
        self.next_call += 1
        self.last_used_at = anyio.current_time()
        self._start_awaiting_reply()
        return call

    def post(self, message: tuple[Any, ...]) -> None:
        """Send a request whose answer is ignored when it arrives.

        This is no use that keeps the connection open: nothing would tell that it has become silent.

        :raises MessageError: if no frame can carry it.
        """
        self.frames.send_nowait(Frame(self.next_call, FrameKind.OPEN, to_plain(message)))
        self.next_call += 1
        self._start_awaiting_reply()

    def release(self, call: PeerCall) -> None:
        """Remove a call; send a cancel frame unless the server has already ended the call."""
        self.last_used_at = anyio.current_time()
        if self.calls.pop(call.number, None) is not None:
            call.end()
            self.frames.send_nowait(Frame(call.number, FrameKind.CANCEL, None))

    def ping(self) -> None:
        """Ask the server for any frame."""
        self.last_ping_at = anyio.current_time()
        self.frames.send_nowait(Frame(0, FrameKind.PING, None))
        self._start_awaiting_reply()

    def is_silent(self, limit_s: float) -> bool:
        """Whether a reply has been outstanding for longer than a limit with nothing received."""
        since = self.awaiting_reply_since
        return since is not None and anyio.current_time() - since > limit_s

    def close(self) -> None:
        """End the connection and all its calls."""
        self.closed = True
        self.frames.close()
        for call in self.calls.values():
            call.end()
        self.calls.clear()
        self.scope.cancel()

    async def receive_frames(self) -> None:
        """Pass received frames to their calls until cancelled."""
        while True:
            frame = await self.frames.receive()
            self.last_received_at = anyio.current_time()
            self.awaiting_reply_since = None
            call = self.calls.get(frame.call)
            if call is None:
                continue
            call.handle_frame(frame)
            if frame.kind is FrameKind.END:
                self.calls.pop(frame.call, None)

    def _start_awaiting_reply(self) -> None:
        if self.awaiting_reply_since is None:
            self.awaiting_reply_since = anyio.current_time()
