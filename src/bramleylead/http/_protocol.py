"""One HTTP connection of a caller: uvicorn's protocol with a time limit and our errors."""

from __future__ import annotations

import select
import socket
import struct
import sys
from typing import TYPE_CHECKING
from typing import Any

import h11
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol
from uvicorn.server import ServerState

from bramleylead.connection._connection_limit import ConnectionLimit
from bramleylead.connection._connection_limit import Use
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.http._exchange import Receive
from bramleylead.http._exchange import Scope
from bramleylead.http._exchange import Send
from bramleylead.http._responses import JSON_TYPE
from bramleylead.http._responses import CallRef
from bramleylead.http._responses import encode_json
from bramleylead.http._responses import failure_body
from bramleylead.http._responses import failure_headers

if TYPE_CHECKING:
    import asyncio
    from asyncio.trsock import TransportSocket

HEADER_TIMEOUT_S = 10.0
MAX_HEADER_BYTES = 32_000
HEADERS_TOO_LARGE_STATUS = 431
HTTP_1_0 = "1.0"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER with no time to linger."""
FLUSH_ON_CLOSE = struct.pack("ii", 0, 0)
HEADER_TIMEOUT_FAILURE = Failure(
    ErrorKind.DEADLINE_EXCEEDED, f"headers: incomplete after {HEADER_TIMEOUT_S:g} s: send faster"
)


class HttpProtocol(H11Protocol):
    """uvicorn's protocol with a header timeout and the error responses of :class:`HttpApp`."""

    _header_timer: asyncio.TimerHandle | None = None
    _received_any = False
    _stopping = False
    _aborted = False
    _resets_on_close = False

    def __init__(
        self,
        config: uvicorn.Config,
        server_state: ServerState,
        app_state: dict[str, Any],
        connection_limit: ConnectionLimit,
    ) -> None:
        super().__init__(config, server_state, app_state)
        self._connection_limit = connection_limit

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self._connection_limit.add(self)
        self._wrapped_app, self.app = self.app, self._run_app
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection_limit.remove(self)
        self._cancel_header_timer()
        is_sent = exc is None and not self._aborted and not self._request_in_progress()
        if self._resets_on_close and is_sent:
            # The socket is closed after this call.
            self._set_linger(FLUSH_ON_CLOSE)
        super().connection_lost(exc)

    def abort(self) -> None:
        """Close the connection at once; what has not been sent is lost."""
        self._aborted = True
        self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self._received_any = True
        if not self._request_in_progress():
            self._start_header_timer()
        super().data_received(data)
        if self._request_in_progress():
            self._cancel_header_timer()
            self._connection_limit.mark(self, Use.REQUEST)
        elif self._received_any:
            self._connection_limit.mark(self, Use.BEGUN)

    async def _run_app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the application; reset the connection if its end would make a response look whole.

        A response to HTTP/1.0 without a length ends with its connection. Closed in its middle, by
        an error or by the end of the process, it would look complete. So the connection is reset,
        whoever closes it, until the response has been sent.
        """
        if scope["http_version"] == HTTP_1_0:
            self._resets_on_close = True
            self._set_linger(RESET_ON_CLOSE)
        try:
            await self._wrapped_app(scope, receive, send)
        except BaseException:
            if self._resets_on_close and self._request_in_progress():
                self.abort()
            raise

    def _set_linger(self, option: bytes) -> None:
        raw_socket = self.transport.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def shutdown(self) -> None:
        """Close the connection at a stop, unless a request has arrived in part.

        Such a request is answered, and the application then closes the connection; a caller that
        does not send the rest is stopped by the header timeout.
        """
        self._stopping = True
        if self._received_any and not self._request_in_progress():
            return
        super().shutdown()

    def send_400_response(self, msg: str) -> None:
        """Refuse a request that h11 could not parse; called while the h11 error is handled."""
        error = sys.exc_info()[1]
        status_hint = getattr(error, "error_status_hint", 0)
        if status_hint == HEADERS_TOO_LARGE_STATUS:
            detail = f"headers: at most {MAX_HEADER_BYTES} bytes are allowed"
            self._send_refusal(Failure(ErrorKind.TOO_LARGE, detail))
        else:
            self._send_refusal(Failure(ErrorKind.MALFORMED, f"HTTP: {error}"))

    def on_response_complete(self) -> None:
        self._received_any = False
        super().on_response_complete()
        if not self._request_in_progress():
            self._connection_limit.mark(self, Use.KEPT)
        if self._stopping:
            self.transport.close()

    def close_if_idle(self) -> bool:
        """Close the connection unless something is still to be sent or to be read on it."""
        raw_socket = self.transport.get_extra_info("socket")
        if self.transport.get_write_buffer_size() or _has_arrived(raw_socket):
            return False
        self.transport.close()
        return True

    def _send_refusal(self, failure: Failure) -> None:
        self._cancel_header_timer()
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            call_ref = CallRef()
            headers = [
                ("content-type", JSON_TYPE),
                ("connection", "close"),
                *failure_headers(failure, call_ref),
            ]
            response = h11.Response(status_code=failure.answer.status, headers=headers)
            body = h11.Data(data=encode_json(failure_body(failure, call_ref)))
            for event in (response, body, h11.EndOfMessage()):
                self.transport.write(self.conn.send(event) or b"")
        self.transport.close()

    def _request_in_progress(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _start_header_timer(self) -> None:
        if self._header_timer is None:
            self._header_timer = self.loop.call_later(HEADER_TIMEOUT_S, self._on_header_timeout)

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        if self._received_any:
            self._send_refusal(HEADER_TIMEOUT_FAILURE)
        else:
            self.transport.close()


def _has_arrived(raw_socket: TransportSocket) -> bool:
    """Return whether data or the end of a connection can be read."""
    poll = select.poll()
    poll.register(raw_socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
