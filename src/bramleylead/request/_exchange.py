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

MAX_HEADER_BYTES = 32_000
LINGER_S = 2.0
LINGER_BYTES = 16_000_000
"""After an early refusal this much of the body is read and dropped, so that closing the connection
does not reset it before the caller has read the refusal."""


@final
class Exchange:
    """One request and its response; owns the order of ASGI events.

    :param scope: the ASGI scope.

    ``started`` says whether the response has begun; ``close_after`` makes it the connection's last.
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
        self.started = False
        self.close_after = False

    async def read_body(self, *, max_bytes: int, timeout_s: float) -> Result[bytes, Failure]:
        """Read the whole body, or refuse one that is too large, too slow or cut off."""
        declared = self.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > max_bytes:
            return Err(_too_large(int(declared), max_bytes))
        with anyio.move_on_after(timeout_s):
            return await self._gather_body(max_bytes)
        detail = f"body: not whole after {timeout_s:g} s: send it faster"
        return Err(Failure(ErrorKind.DEADLINE_EXCEEDED, detail))

    async def wait_gone(self) -> None:
        """Wait until the caller has closed the connection; the body must be read before."""
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                return

    async def respond(self, status: int, body: bytes, headers: HeaderList) -> None:
        """Send a whole response; an unread body is then read and dropped for a short while."""
        headers = [*headers, ("content-length", str(len(body)))]
        if self._body_read:
            await self.start(status, headers)
            await self.write(body, more=False)
            return
        self.close_after = True
        await self.start(status, headers)
        await self.write(body)
        with anyio.move_on_after(LINGER_S):
            await self._gather_body(LINGER_BYTES)
        await self.write(b"", more=False)

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send status and headers."""
        self.started = True
        if self.close_after:
            headers = [*headers, ("connection", "close")]
        encoded = [(name.lower().encode(), value.encode("latin-1")) for name, value in headers]
        await self._send({"type": "http.response.start", "status": status, "headers": encoded})

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Send a part of the response's body."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def _gather_body(self, max_bytes: int) -> Result[bytes, Failure]:
        parts = bytearray()
        while not self._body_read:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                self._body_read = True
                return Err(Failure(ErrorKind.CANCELLED, "body: the caller closed the connection"))
            parts += event.get("body", b"")
            self._body_read = not event.get("more_body", False)
            if len(parts) > max_bytes:
                return Err(_too_large(len(parts), max_bytes))
        return Ok(bytes(parts))


def _read_headers(raw: Sequence[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw}


def _has_body(headers: dict[str, str]) -> bool:
    return headers.get("content-length", "0") != "0" or "transfer-encoding" in headers


def _too_large(size: int, max_bytes: int) -> Failure:
    detail = f"body: {size} bytes or more: at most {max_bytes} are allowed"
    return Failure(ErrorKind.TOO_LARGE, detail)
