"""One HTTP/1.1 connection to a replica, parsed by h11.

httpcore returns the first response that it reads. But a replica may first send a late response to
an earlier request, may respond before it has read the request's body, and may send extra bytes
after a response. This module therefore checks which request a response belongs to, and never
reuses a connection that has unread data.
"""

from __future__ import annotations

import re
import select
from collections.abc import Callable
from types import TracebackType
from typing import Self
from typing import final

import anyio
import h11
from anyio.abc import ByteStream
from anyio.abc import SocketAttribute

from bramleylead.gateway._replica_connection import RequestHead
from bramleylead.gateway._replica_connection import ResponseHead
from bramleylead.gateway._replica_connection import UpstreamError

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 8_000_000
"""A gateway has 128 MB, and several replicas may send bodies without end at the same time."""
MAX_DISCARDED_BYTES = 262_144
"""Discarding more costs more than a new connection."""
MAX_STALE_RESPONSES = 8
MAX_INFORMATIONAL_RESPONSES = 8
MAX_STATUS = 599

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d( |\r?$)", re.MULTILINE)
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")

TRANSPORT_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


@final
class UpstreamConnection:
    """One connection; carries one request at a time.

    :param address: of the replica.
    :param id_header: the header in which a response carries the id of its request.
    :param on_received: called whenever something arrives.
    """

    def __init__(
        self,
        stream: ByteStream,
        *,
        address: str,
        id_header: str,
        on_received: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self._stream = stream
        self._id_header = id_header
        self._on_received = on_received
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: RequestHead | None = None
        self._request_sent = True
        self._response_complete = False
        self._must_close = False
        self._head_data: bytearray | None = None
        self._body_bytes = 0
        self._reading: anyio.CancelScope | None = None
        self._abandoned = False
        self.last_used_at = anyio.current_time()
        self.reuse_until = float("inf")
        self.request_count = 0

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connection at once; the replica then stops work on the request."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    def abandon(self) -> None:
        """Make reading from it fail at once, because nothing passes on it any more."""
        self._abandoned = True
        if self._reading is not None:
            self._reading.cancel()

    @property
    def reusable(self) -> bool:
        """Whether the last request and response were transferred completely, with no data left."""
        complete = self._request_sent and self._response_complete and not self._must_close
        return complete and not self._abandoned and not self._parser.trailing_data[0]

    def is_idle(self) -> bool:
        """Whether neither data nor a close has arrived since the last response."""
        raw_socket = self._stream.extra(SocketAttribute.raw_socket, None)
        if raw_socket is None:
            return True
        poll = select.poll()
        poll.register(raw_socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def start_request(self, head: RequestHead, body: bytes) -> bytes:
        """Start a request and return the bytes to pass to :meth:`send`.

        :raises UpstreamError: if the request is not valid in HTTP/1.1; nothing was sent.
        """
        if self.request_count:
            self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request = head
        self._response_complete = False
        self._request_sent = False
        self.request_count += 1
        try:
            return self._serialize(head, body)
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise UpstreamError(f"request {head.request_id}: {error}") from error

    async def send(self, data: bytes) -> None:
        """Send the bytes of a request.

        An error is reported by :meth:`read_head`, since the response may already have arrived.
        """
        try:
            await self._stream.send(data)
            self._request_sent = True
        except TRANSPORT_ERRORS:
            self._must_close = True

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response to this request; discard responses to other requests.

        :raises UpstreamError: if the connection ends or carries no valid response, or one that may
            belong to an earlier request, since it names none.
        """
        assert self._request is not None
        for _ in range(MAX_STALE_RESPONSES):
            head = await self._read_response_head()
            self._body_bytes = 0
            response_request_id = head.header_map().get(self._id_header, "")
            if response_request_id == self._request.request_id:
                return head
            if not response_request_id:
                self._require_first_request()
                return head
            await self._discard_response()
        raise UpstreamError("received only responses to other requests")

    def _require_first_request(self) -> None:
        """Check that a response without an id can only answer the request that was sent.

        :raises UpstreamError: if the connection has carried another request before.
        """
        if self.request_count > 1:
            self._must_close = True
            raise UpstreamError("a response without a request id on a connection in use again")

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or ``None`` at its end.

        :raises UpstreamError: if the connection ends before the body does, or the body is too long.
        """
        return await self._read_chunk(MAX_BODY_BYTES)

    async def discard_body(self) -> None:
        """Read to the end of the body, so that the connection can be reused.

        :raises UpstreamError: if the connection ends before the body does, or the body is too long.
        """
        while await self._read_chunk(MAX_DISCARDED_BYTES) is not None:
            pass

    async def _read_chunk(self, max_body_bytes: int) -> bytes | None:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > max_body_bytes:
                    self._must_close = True
                    detail = f"the body exceeds {max_body_bytes} bytes"
                    raise UpstreamError(detail)
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._response_complete = True
                self._must_close = self._must_close or self._parser.their_state is not h11.DONE
                self.last_used_at = anyio.current_time()
                return None

    def _serialize(self, head: RequestHead, body: bytes) -> bytes:
        headers = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in head.headers
        ]
        target = head.target.encode("latin-1")
        event = h11.Request(method=head.method, target=target, headers=headers)
        parts = [self._parser.send(event)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _read_response_head(self) -> ResponseHead:
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_head()
            if isinstance(event, h11.Response):
                headers = [
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in event.headers
                ]
                if event.status_code > MAX_STATUS:
                    raise UpstreamError(f"status {event.status_code}: at most {MAX_STATUS} exists")
                return ResponseHead(event.status_code, headers)
        raise UpstreamError("received only informational responses")

    async def _next_head(self) -> h11.Event:
        """Return the next event, the head of a response, and check what it was parsed from."""
        self._head_data = bytearray(self._parser.trailing_data[0])
        event = await self._next_event()
        rest, _ = self._parser.trailing_data
        _require_one_head(bytes(self._head_data[: len(self._head_data) - len(rest)]))
        self._head_data = None
        return event

    async def _discard_response(self) -> None:
        """Discard a response to another request and reset the parser for the next one."""
        await self.discard_body()
        trailing, _ = self._parser.trailing_data
        if self._must_close:
            raise UpstreamError("the connection closed after a response to another request")
        assert self._request is not None
        self._response_complete = False
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # h11 accepts a response only after a request, so the request already sent is replayed.
        headers = [
            (name, value) for name, value in self._request.headers if name != "content-length"
        ]
        self._serialize(self._request._replace(headers=headers), b"")
        if trailing:
            self._parser.receive_data(trailing)

    async def _next_event(self) -> h11.Event:
        try:
            event = self._parser.next_event()
            while event is h11.NEED_DATA:
                self._parser.receive_data(await self._receive())
                event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if self._must_close:
                detail = "the connection closed before the response was complete"
                raise UpstreamError(detail, connection_lost=True) from error
            raise UpstreamError(f"not valid HTTP: {error}") from error
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise UpstreamError("the replica closed the connection", connection_lost=True)
        return event

    async def _receive(self) -> bytes:
        try:
            with anyio.CancelScope() as self._reading:
                if self._abandoned:
                    self._reading.cancel()
                data = await self._stream.receive(READ_BYTES)
            if self._reading.cancelled_caught:
                raise UpstreamError("nothing passes to the replica any more", path_lost=True)
        except anyio.EndOfStream:
            self._must_close = True
            return b""
        except TRANSPORT_ERRORS as error:
            detail = f"connection error: {type(error).__name__}"
            raise UpstreamError(detail, connection_lost=True) from error
        self._on_received()
        if self._head_data is not None:
            self._head_data += data
        return data


def _require_one_head(data: bytes) -> None:
    """Check that a head was not cut off and continued by other data, which would complete it.

    Its status would be joined with the headers and the body of another response, or its headers
    with a part of its body. A replica ends all lines of a head alike.

    :raises UpstreamError: if it was.
    """
    if STATUS_LINE.search(data, 1):
        raise UpstreamError("the head of a response runs on into that of another one")
    if b"\r\n" in data and BARE_LINE_FEED.search(data):
        raise UpstreamError("the head of a response runs on into other text")
