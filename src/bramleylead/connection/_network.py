"""The network interface for streams between nodes: real TCP, or the fake network of the tests."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from anyio.abc import ByteStream
from anyio.abc import TaskStatus


class Network(Protocol):
    """Opens and accepts byte streams between ``host:port`` addresses."""

    async def connect(self, address: str) -> ByteStream:
        """Open a stream.

        :raises OSError: if the connection fails.
        """
        ...

    async def serve(
        self,
        address: str,
        handler: Callable[[ByteStream], Awaitable[None]],
        *,
        task_status: TaskStatus[str],
    ) -> None:
        """Accept streams until cancelled; ``task_status.started()`` gets the bound address."""
        ...
