"""Network streams whose reads can be delayed, so that each read returns more data.

Each read costs a system call, two iterations of the event loop and a pass through the HTTP parser's
state machine. Events that arrive in one read share this cost.
"""

from __future__ import annotations

import ssl
from collections.abc import Iterable
from typing import Any
from typing import final

import anyio
import httpcore


@final
class DelayedReadStream(httpcore.AsyncNetworkStream):
    """A stream that waits ``read_delay_s`` seconds before each read; initially 0, for no delay."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self.read_delay_s = 0.0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read the data that has arrived."""
        if self.read_delay_s:
            await anyio.sleep(self.read_delay_s)
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of the buffer."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS; reads of the returned stream are not delayed."""
        return await self._stream.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> Any:
        """Return information about the socket."""
        return self._stream.get_extra_info(info)


@final
class DelayedReadBackend(httpcore.AsyncNetworkBackend):
    """Opens TCP streams for httpcore, on asyncio and on trio."""

    def __init__(self) -> None:
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a stream."""
        stream = await self._backend.connect_tcp(host, port, timeout, local_address, socket_options)
        return DelayedReadStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait before httpcore retries."""
        await anyio.sleep(seconds)
