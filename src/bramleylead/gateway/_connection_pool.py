"""A pool of idle connections to replicas, which later requests reuse."""

from __future__ import annotations

from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import Network
from bramleylead.gateway._upstream import UpstreamConnection
from bramleylead.platform._types import Replica

CONNECT_TIMEOUT_S = 0.4
"""Shorter than the second after which TCP resends a lost SYN: trying another replica is faster."""
DEFAULT_KEEP_ALIVE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.0
"""A connection is no longer reused this long before the replica's announced keep-alive timeout: a
request that crosses the replica's close may have run, and an unsafe one can't be sent again."""

log = structlog.get_logger()


@final
class ConnectionPool:
    """The idle connections of one gateway, by replica."""

    def __init__(self, network: Network, *, id_header: str) -> None:
        self._network = network
        self._id_header = id_header
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    async def acquire(self, replica: Replica) -> Result[UpstreamConnection, str]:
        """Return an idle connection or open one; an ``Err`` means that nothing was sent."""
        idle = self._idle.get(replica.name, [])
        while idle:
            connection = idle.pop()
            if anyio.current_time() < connection.reuse_until and connection.is_idle():
                return Ok(connection)
            await connection.aclose()
        return await self._connect(replica)

    async def release(
        self, replica: Replica, connection: UpstreamConnection, keep_alive_s: float | None
    ) -> None:
        """Return a connection to the pool if it can be reused, or close it."""
        if not connection.reusable or replica.name not in self._idle:
            await connection.aclose()
            return
        idle_limit_s = (
            DEFAULT_KEEP_ALIVE_S if keep_alive_s is None else keep_alive_s - KEEP_ALIVE_MARGIN_S
        )
        connection.reuse_until = anyio.current_time() + idle_limit_s
        self._idle[replica.name].append(connection)

    async def keep_only(self, names: set[str]) -> None:
        """Close the idle connections to all replicas but the named ones."""
        for name in [name for name in self._idle if name not in names]:
            for connection in self._idle.pop(name):
                await connection.aclose()

    async def close_expired(self) -> None:
        """Close the idle connections that have expired."""
        now = anyio.current_time()
        for idle in self._idle.values():
            expired = [connection for connection in idle if connection.reuse_until <= now]
            idle[:] = [connection for connection in idle if connection.reuse_until > now]
            for connection in expired:
                await connection.aclose()

    async def _connect(self, replica: Replica) -> Result[UpstreamConnection, str]:
        self._idle.setdefault(replica.name, [])
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await self._network.connect(replica.address)
        except (OSError, TimeoutError) as error:
            detail = f"{replica.address}: can't connect: {type(error).__name__}: {error}"
            return Err(detail)
        self.opened += 1
        return Ok(UpstreamConnection(stream, id_header=self._id_header))
