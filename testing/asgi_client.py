"""A minimal ASGI client: sends one request and records the response."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import MutableMapping
from itertools import pairwise
from typing import Any
from typing import NamedTuple

import anyio

from bramleylead.gateway._app import ResponseAbortedError

Application = Callable[..., Awaitable[None]]


class RawRequest(NamedTuple):
    """One raw HTTP request.

    :param target: path and query.
    :param disconnect_after_s: when the caller closes the connection; ``None`` to wait for the end.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    disconnect_after_s: float | None = None


class RawResponse(NamedTuple):
    """The response as received by the caller.

    :param status: 0 if the connection ended before a response began.
    :param whole: whether the response body was complete.
    :param first_byte_s: time from the request to the first byte of the response body.
    :param longest_gap_s: longest time between two parts of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    whole: bool
    first_byte_s: float = 0.0
    longest_gap_s: float = 0.0

    @property
    def headers_by_name(self) -> Mapping[str, str]:
        """The headers by name."""
        return dict(self.headers)


async def send(app: Application, request: RawRequest) -> RawResponse:
    """Send one request as uvicorn would, and return the response."""
    return await _Exchange(app, request).run()


class _Exchange:
    """One request in progress."""

    def __init__(self, app: Application, request: RawRequest) -> None:
        self._app = app
        self._request = request
        self._started_s = anyio.current_time()
        self._request_sent = False
        self._disconnected = False
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._body = bytearray()
        self._whole = False
        self._chunk_times_s: list[float] = []

    async def run(self) -> RawResponse:
        path, _, query = self._request.target.partition("?")
        headers = list(self._request.headers)
        if self._request.body:
            headers.append(("content-length", str(len(self._request.body))))
        scope = {
            "type": "http",
            "method": self._request.method,
            "path": path,
            "query_string": query.encode(),
            "headers": [(name.encode(), value.encode()) for name, value in headers],
        }
        with contextlib.suppress(ResponseAbortedError):
            await self._app(scope, self._receive, self._send)
        return self._response()

    async def _receive(self) -> dict[str, Any]:
        if not self._request_sent:
            self._request_sent = True
            return {"type": "http.request", "body": self._request.body, "more_body": False}
        if self._request.disconnect_after_s is None:
            await anyio.sleep_forever()
        else:
            await anyio.sleep_until(self._started_s + self._request.disconnect_after_s)
        self._disconnected = True
        return {"type": "http.disconnect"}

    async def _send(self, event: MutableMapping[str, Any]) -> None:
        if self._disconnected:
            return
        if event["type"] == "http.response.start":
            self._status = event["status"]
            self._headers = tuple(
                (name.decode(), value.decode("latin-1")) for name, value in event["headers"]
            )
            return
        if event["body"]:
            self._chunk_times_s.append(anyio.current_time())
        self._body += event["body"]
        self._whole = not event.get("more_body", False)

    def _response(self) -> RawResponse:
        times_s = self._chunk_times_s
        gaps_s = [later - earlier for earlier, later in pairwise(times_s)]
        return RawResponse(
            self._status,
            self._headers,
            bytes(self._body),
            self._whole,
            first_byte_s=times_s[0] - self._started_s if times_s else 0.0,
            longest_gap_s=max(gaps_s, default=0.0),
        )
