"""HTTP requests by httpcore, with the one thing that callers must know: whether a byte was sent.

Runs on asyncio and on trio. Nothing is retried here.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Any
from typing import NamedTuple
from typing import Self
from typing import final

import anyio
import httpcore
from result import Err
from result import Ok
from result import Result

from bramleylead.connection._gathering import GatheringBackend
from bramleylead.connection._gathering import GatheringStream
from bramleylead.connection._tcp import probe_options

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 5.0
MAX_CONNECTIONS = 4096
MAX_ANSWER_BYTES = 64_000_000
SENDING_EVENT = "http11.send_request_headers.started"

Headers = Mapping[str, str]


class HttpFailure(NamedTuple):
    """A request without a whole answer.

    :param sent: whether a byte of the request may have reached the server.
    """

    sent: bool
    detail: str


class HttpAnswer(NamedTuple):
    """A whole answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpStream(NamedTuple):
    """An answer whose body is still coming; ``body`` raises httpcore's errors and ``OSError``.

    :param network: its ``gather_s`` says how long each read of this answer waits for more.
    """

    status: int
    headers: dict[str, str]
    body: AsyncIterator[bytes]
    network: GatheringStream


@final
class HttpClient:
    """Kept connections to one server; leaving the context closes them.

    :param address: ``host:port``, the host an IP number.
    :param keep_alive: whether a connection serves a second request.
    :param silent_after_s: connections whose other end says nothing for about twice as long, not
        even to the kernel's probes, are given up; 0 leaves that to the kernel's defaults.
    """

    def __init__(self, address: str, *, keep_alive: bool = True, silent_after_s: int = 0) -> None:
        self._base = f"http://{address}"
        self._address = address
        self._socket_options = probe_options(silent_after_s)
        self._kept_connections = MAX_CONNECTIONS if keep_alive else 0
        self._pool = self._new_pool()
        self._retired: list[httpcore.AsyncConnectionPool] = []

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
        """Close every connection."""
        with anyio.CancelScope(shield=True):
            for pool in [*self._retired, self._pool]:
                await pool.aclose()

    async def forget_idle(self) -> None:
        """Use fresh connections from now on; those that went silent may look open for ever."""
        self._retired.append(self._pool)
        self._pool = self._new_pool()
        idle = [pool for pool in self._retired if _is_idle(pool)]
        # Taken off before the first wait: other requests that time out come here meanwhile.
        self._retired = [pool for pool in self._retired if pool not in idle]
        with anyio.CancelScope(shield=True):
            for pool in idle:
                await pool.aclose()

    async def request(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: Headers | None = None,
        timeout_s: float,
    ) -> Result[HttpAnswer, HttpFailure]:
        """Send a request and read the whole answer within ``timeout_s`` seconds."""
        trace = _Trace()
        with anyio.move_on_after(timeout_s):
            try:
                async with self._open(method, target, body, headers, trace) as stream:
                    return await self._read_whole(stream)
            except _FAILURES as error:
                return Err(self._failure(trace, error))
        await self.forget_idle()
        detail = f"{self._address}: no answer to {method} {target} within {timeout_s:g} s"
        return Err(HttpFailure(trace.sent, detail))

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: Headers | None = None,
        timeout_s: float,
    ) -> AsyncIterator[Result[HttpStream, HttpFailure]]:
        """Send a request and wait ``timeout_s`` seconds for the head of the answer."""
        trace = _Trace()
        opened = self._open(method, target, body, headers, trace)
        stream: HttpStream | None = None
        failure: HttpFailure | None = None
        with anyio.move_on_after(timeout_s):
            try:
                stream = await opened.__aenter__()
            except _FAILURES as error:
                failure = self._failure(trace, error)
        if stream is None:
            await self.forget_idle()
            late = f"{self._address}: no answer to {method} {target} within {timeout_s:g} s"
            yield Err(failure or HttpFailure(trace.sent, late))
            return
        try:
            yield Ok(stream)
        finally:
            with anyio.CancelScope(shield=True):
                await opened.__aexit__(None, None, None)

    @asynccontextmanager
    async def _open(
        self, method: str, target: str, body: bytes, headers: Headers | None, trace: _Trace
    ) -> AsyncIterator[HttpStream]:
        async with self._pool.stream(
            method,
            self._base + target,
            headers={"content-length": str(len(body)), **(headers or {})},
            content=body,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}, "trace": trace.take},
        ) as response:
            found = {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
            network = response.extensions["network_stream"]
            try:
                yield HttpStream(response.status, found, response.aiter_stream(), network)
            finally:
                network.gather_s = 0.0

    async def _read_whole(self, stream: HttpStream) -> Result[HttpAnswer, HttpFailure]:
        whole = bytearray()
        async for part in stream.body:
            whole += part
            if len(whole) > MAX_ANSWER_BYTES:
                detail = f"{self._address}: answer of over {MAX_ANSWER_BYTES} bytes"
                return Err(HttpFailure(True, detail))
        return Ok(HttpAnswer(stream.status, stream.headers, bytes(whole)))

    def _failure(self, trace: _Trace, error: Exception) -> HttpFailure:
        return HttpFailure(trace.sent, f"{self._address}: {type(error).__name__}: {error}")

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=self._kept_connections,
            keepalive_expiry=KEEP_ALIVE_S,
            network_backend=GatheringBackend(),
            socket_options=self._socket_options,
        )


class _Trace:
    """Notes whether httpcore began to write the request."""

    def __init__(self) -> None:
        self.sent = False

    async def take(self, event: str, info: dict[str, Any]) -> None:
        if event == SENDING_EVENT:
            self.sent = True


def _is_idle(pool: httpcore.AsyncConnectionPool) -> bool:
    return all(connection.is_idle() for connection in pool.connections)


HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
    OSError,
)
_FAILURES = HTTP_ERRORS
