"""HTTP client over httpcore that reports whether any byte of a failed request was sent.

Runs on asyncio and on trio. Requests are never retried here.
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

from bramleylead.connection._delayed_reads import DelayedReadBackend
from bramleylead.connection._delayed_reads import DelayedReadStream
from bramleylead.connection._tcp import keepalive_options

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 5.0
MAX_CONNECTIONS = 4096
MAX_RESPONSE_BYTES = 64_000_000
SEND_STARTED_EVENT = "http11.send_request_headers.started"

Headers = Mapping[str, str]


class HttpFailure(NamedTuple):
    """A request that did not get a complete response.

    :param sent: whether a byte of the request may have reached the server.
    """

    sent: bool
    detail: str


class HttpResponse(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpStream(NamedTuple):
    """A response whose body is streamed; ``body`` raises httpcore's errors and ``OSError``.

    :param network: its ``read_delay_s`` is the delay before each read of this response.
    """

    status: int
    headers: dict[str, str]
    body: AsyncIterator[bytes]
    network: DelayedReadStream


@final
class HttpClient:
    """A pool of connections to one server; leaving the context closes them.

    :param address: ``host:port``, where the host is an IP address.
    :param keep_alive: whether connections are reused.
    :param keepalive_idle_s: idle time, in whole seconds, before the kernel sends keepalive probes.
        Without an answer the connection is closed after about twice this time. 0 keeps the
        kernel's defaults.
    """

    def __init__(self, address: str, *, keep_alive: bool = True, keepalive_idle_s: int = 0) -> None:
        self._base_url = f"http://{address}"
        self._address = address
        self._socket_options = keepalive_options(keepalive_idle_s)
        self._max_idle_connections = MAX_CONNECTIONS if keep_alive else 0
        self._pool = self._new_pool()
        self._retired_pools: list[httpcore.AsyncConnectionPool] = []

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
            for pool in [*self._retired_pools, self._pool]:
                await pool.aclose()

    async def replace_pool(self) -> None:
        """Switch to a new pool and close idle ones; a silent connection may look open forever."""
        self._retired_pools.append(self._pool)
        self._pool = self._new_pool()
        idle = [pool for pool in self._retired_pools if _is_idle(pool)]
        # Updated before the first await: other requests that time out run this concurrently.
        self._retired_pools = [pool for pool in self._retired_pools if pool not in idle]
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
    ) -> Result[HttpResponse, HttpFailure]:
        """Send a request and read the whole response within ``timeout_s`` seconds."""
        trace = _SendTrace()
        with anyio.move_on_after(timeout_s):
            try:
                async with self._open_stream(method, target, body, headers, trace) as stream:
                    return await self._read_response(stream)
            except _FAILURES as error:
                return Err(self._failure(trace, error))
        await self.replace_pool()
        detail = f"{self._address}: no response to {method} {target} within {timeout_s:g} s"
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
        """Send a request and wait up to ``timeout_s`` seconds for the response headers."""
        trace = _SendTrace()
        stream_context = self._open_stream(method, target, body, headers, trace)
        stream: HttpStream | None = None
        failure: HttpFailure | None = None
        with anyio.move_on_after(timeout_s):
            try:
                stream = await stream_context.__aenter__()
            except _FAILURES as error:
                failure = self._failure(trace, error)
        if stream is None:
            await self.replace_pool()
            timeout_detail = (
                f"{self._address}: no response to {method} {target} within {timeout_s:g} s"
            )
            yield Err(failure or HttpFailure(trace.sent, timeout_detail))
            return
        try:
            yield Ok(stream)
        finally:
            with anyio.CancelScope(shield=True):
                await stream_context.__aexit__(None, None, None)

    @asynccontextmanager
    async def _open_stream(
        self, method: str, target: str, body: bytes, headers: Headers | None, trace: _SendTrace
    ) -> AsyncIterator[HttpStream]:
        async with self._pool.stream(
            method,
            self._base_url + target,
            headers={"content-length": str(len(body)), **(headers or {})},
            content=body,
            extensions={"timeout": {"connect": CONNECT_TIMEOUT_S}, "trace": trace.record},
        ) as response:
            response_headers = {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
            network = response.extensions["network_stream"]
            try:
                yield HttpStream(
                    response.status, response_headers, response.aiter_stream(), network
                )
            finally:
                network.read_delay_s = 0.0

    async def _read_response(self, stream: HttpStream) -> Result[HttpResponse, HttpFailure]:
        received = bytearray()
        async for chunk in stream.body:
            received += chunk
            if len(received) > MAX_RESPONSE_BYTES:
                detail = f"{self._address}: response exceeds {MAX_RESPONSE_BYTES} bytes"
                return Err(HttpFailure(True, detail))
        return Ok(HttpResponse(stream.status, stream.headers, bytes(received)))

    def _failure(self, trace: _SendTrace, error: Exception) -> HttpFailure:
        return HttpFailure(trace.sent, f"{self._address}: {type(error).__name__}: {error}")

    def _new_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=self._max_idle_connections,
            keepalive_expiry=KEEP_ALIVE_S,
            network_backend=DelayedReadBackend(),
            socket_options=self._socket_options,
        )


class _SendTrace:
    """Records whether httpcore began to send the request."""

    def __init__(self) -> None:
        self.sent = False

    async def record(self, event: str, info: dict[str, Any]) -> None:
        if event == SEND_STARTED_EVENT:
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
