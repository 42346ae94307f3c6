"""One HTTP request and its response, over plain ASGI."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from collections.abc import Sequence
from typing import Any
from typing import final
from urllib.parse import parse_qs

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
HeaderList = list[tuple[str, str]]
Admit = Callable[[int], bool]

MAX_HEADER_BYTES = 32_000
LENGTH_HEADERS = {"content-length", "transfer-encoding"}
LINGER_S = 2.0
LINGER_BYTES = 16_000_000
"""After an early refusal, up to this much of the body is read and discarded. Otherwise closing the
connection would reset it before the caller has read the refusal."""

BODIES_DETAIL = "body: too many large bodies are held: send it again later"
BODIES_RETRY_S = 0.5


def admit_all(count: int) -> bool:
    """Admit each part of a body."""
    return True


@final
class Exchange:
    """One request and its response; sends the ASGI events in the required order.

    :param scope: the ASGI scope.

    ``started`` is set once the response has begun. ``close_after`` closes the connection after this
    response. ``has_two_lengths`` is set if the head gives the body's length in two ways: whoever
    stands before this process may have taken what follows for a part of the body.
    """

    def __init__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self._receive = receive
        self._send = send
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.headers = _read_headers(scope["headers"])
        self._body_read = not _has_body(self.headers)
        self.header_bytes = sum(len(name) + len(value) for name, value in scope["headers"])
        query = parse_qs(scope.get("query_string", b"").decode("latin-1"))
        self.query = {name: values[-1] for name, values in query.items()}
        self.has_two_lengths = self.headers.keys() >= LENGTH_HEADERS
        self.started = False
        self.close_after = self.has_two_lengths

    async def read_body(
        self, *, max_bytes: int, timeout_s: float, admit: Admit = admit_all
    ) -> Result[bytes, Failure]:
        """Read the whole body; fail if it is too large, too slow, truncated or not admitted.

        :param admit: asked for each part, by its length, before it is kept.
        """
        declared_length = self.headers.get("content-length", "0")
        if declared_length.isdigit() and int(declared_length) > max_bytes:
            return Err(_too_large_failure(int(declared_length), max_bytes))
        with anyio.move_on_after(timeout_s):
            return await self._receive_body(max_bytes, admit)
        detail = f"body: incomplete after {timeout_s:g} s: send it faster"
        return Err(Failure(ErrorKind.DEADLINE_EXCEEDED, detail))

    async def wait_disconnected(self) -> None:
        """Wait until the caller closes the connection; the body must have been read before."""
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                return

    async def respond(self, status: int, body: bytes, headers: HeaderList) -> None:
        """Send a whole response, then read and discard a limited part of an unread body."""
        headers = [*headers, ("content-length", str(len(body)))]
        if self._body_read:
            await self.start(status, headers)
            await self.write(body, more=False)
            return
        self.close_after = True
        await self.start(status, headers)
        await self.write(body)
        with anyio.move_on_after(LINGER_S):
            await self._discard_body(LINGER_BYTES)
        await self.write(b"", more=False)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the status and headers."""
        self.started = True
        if self.close_after:
            headers = [*headers, ("connection", "close")]
        encoded = [(name.lower().encode(), value.encode("latin-1")) for name, value in headers]
        await self._send({"type": "http.response.start", "status": status, "headers": encoded})

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Send a chunk of the response body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def _discard_body(self, max_bytes: int) -> None:
        discarded_bytes = 0
        while not self._body_read and discarded_bytes <= max_bytes:
            event = await self._receive()
            discarded_bytes += len(event.get("body", b""))
            self._body_read = not event.get("more_body", False)

    async def _receive_body(self, max_bytes: int, admit: Admit) -> Result[bytes, Failure]:
        received = bytearray()
        while not self._body_read:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                self._body_read = True
                return Err(Failure(ErrorKind.CANCELLED, "body: the caller closed the connection"))
            part = event.get("body", b"")
            self._body_read = not event.get("more_body", False)
            if len(received) + len(part) > max_bytes:
                return Err(_too_large_failure(len(received) + len(part), max_bytes))
            if not admit(len(part)):
                return Err(Failure(ErrorKind.OVERLOADED, BODIES_DETAIL, BODIES_RETRY_S))
            received += part
        return Ok(bytes(received))


def _read_headers(raw_headers: Sequence[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw_headers}


def _has_body(headers: dict[str, str]) -> bool:
    return headers.get("content-length", "0") != "0" or "transfer-encoding" in headers


def _too_large_failure(size: int, max_bytes: int) -> Failure:
    detail = f"body: {size} bytes or more: at most {max_bytes} are allowed"
    return Failure(ErrorKind.TOO_LARGE, detail)
