"""One HTTP/1.1 connection to a replica, parsed by h11.

httpcore hands out the first response it reads. Replicas may send a late response to an earlier
request first, may answer before a body is read, and may add bytes after a response; so the
response's request is checked here, and a connection with anything left over is not used again.
"""

from __future__ import annotations

import select
from types import TracebackType
from typing import NamedTuple
from typing import Self
from typing import final

import anyio
import h11
from anyio.abc import ByteStream
from anyio.abc import SocketAttribute

READ_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
STRANGERS_LIMIT = 8

Headers = list[tuple[str, str]]
TRANSPORT_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class UpstreamError(Exception):
    """The response did not come whole.

    :param answered: whether the head of the response had come.
    """

    def __init__(self, detail: str, *, answered: bool = False) -> None:
        super().__init__(detail)
        self.answered = answered


class ResponseHead(NamedTuple):
    """Status and headers of a response; names are in lower case."""

    status: int
    headers: Headers

    def table(self) -> dict[str, str]:
        """Return the headers by name."""
        return dict(self.headers)


class RequestHead(NamedTuple):
    """Method, target and headers of a request, and its id, which the response must bear."""

    method: str
    target: str
    headers: Headers
    request: str


@final
class Upstream:
    """One connection; carries one request at a time.

    :param id_header: the header by which a response names its request.
    """

    def __init__(self, stream: ByteStream, *, id_header: str) -> None:
        self._stream = stream
        self._id_header = id_header
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: RequestHead | None = None
        self._sent_whole = True
        self._got_whole = False
        self._last = False
        self.used_at = anyio.current_time()
        self.keep_until = float("inf")
        self.requests = 0

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
        """Close the connection at once; the replica then stops work on it."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    @property
    def reusable(self) -> bool:
        """Whether the last request and its response went through whole, with nothing left over."""
        whole = self._sent_whole and self._got_whole and not self._last
        return whole and not self._parser.trailing_data[0]

    def is_quiet(self) -> bool:
        """Whether nothing has come since the last response: no bytes, no close."""
        raw = self._stream.extra(SocketAttribute.raw_socket, None)
        if raw is None:
            return True
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return not poll.poll(0)

    def start(self, head: RequestHead, body: bytes) -> bytes:
        """Begin a request and return the bytes that :meth:`send` is to send.

        :raises UpstreamError: if the request can't be put into HTTP/1.1; nothing was sent.
        """
        if self.requests:
            self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head = head
        self._got_whole = False
        self._sent_whole = False
        self.requests += 1
        try:
            return self._serialize(head, body)
        except h11.LocalProtocolError as error:
            raise UpstreamError(f"request {head.request}: {error}") from error

    async def send(self, data: bytes) -> None:
        """Send the bytes of a request.

        A failure is left for :meth:`read_head` to meet, since the response may have come already.
        """
        try:
            await self._stream.send(data)
            self._sent_whole = True
        except TRANSPORT_ERRORS:
            self._last = True

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response to this request; drops responses to others.

        :raises UpstreamError: if the connection ends or carries no valid response.
        """
        assert self._head is not None
        for _ in range(STRANGERS_LIMIT):
            head = await self._next_head()
            named = head.table().get(self._id_header, "")
            if not named or named == self._head.request:
                return head
            await self._skip_body()
        raise UpstreamError("only responses to other requests came")

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, or ``None`` at its end.

        :raises UpstreamError: if the connection ends before the body does.
        """
        while True:
            event = await self._next_event(answered=True)
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._got_whole = True
                self._last = self._last or self._parser.their_state is not h11.DONE
                self.used_at = anyio.current_time()
                return None

    def _serialize(self, head: RequestHead, body: bytes) -> bytes:
        event = h11.Request(method=head.method, target=head.target, headers=head.headers)
        parts = [self._parser.send(event)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def _next_head(self) -> ResponseHead:
        while True:
            event = await self._next_event(answered=False)
            if isinstance(event, h11.Response):
                headers = [
                    (name.decode("latin-1"), value.decode("latin-1"))
                    for name, value in event.headers
                ]
                return ResponseHead(event.status_code, headers)

    async def _skip_body(self) -> None:
        """Read past a response to another request and make ready for the next one."""
        while await self.read_part() is not None:
            pass
        left, _ = self._parser.trailing_data
        if self._last:
            raise UpstreamError("the connection ends after the response to another request")
        assert self._head is not None
        self._got_whole = False
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # The parser reads a response only after a request: this one has been sent already.
        bare = [(name, value) for name, value in self._head.headers if name != "content-length"]
        self._serialize(self._head._replace(headers=bare), b"")
        if left:
            self._parser.receive_data(left)

    async def _next_event(self, *, answered: bool) -> h11.Event:
        try:
            event = self._parser.next_event()
            while event is h11.NEED_DATA:
                self._parser.receive_data(await self._receive(answered=answered))
                event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if self._last:
                detail = "the connection ended before the response did"
                raise UpstreamError(detail, answered=answered) from error
            raise UpstreamError(f"not HTTP: {error}", answered=answered) from error
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise UpstreamError("the replica closed the connection", answered=answered)
        return event

    async def _receive(self, *, answered: bool) -> bytes:
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            self._last = True
            return b""
        except TRANSPORT_ERRORS as error:
            detail = f"the connection broke: {type(error).__name__}"
            raise UpstreamError(detail, answered=answered) from error
