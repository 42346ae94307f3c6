"""Connections to replicas: direct ones, or through another gateway while the direct paths fail."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.gateway._relay_messages import Reach
from bramleylead.gateway._relayed_connection import RelayedConnection
from bramleylead.gateway._relays import Relays
from bramleylead.gateway._replica_connection import ConnectionUse
from bramleylead.gateway._replica_connection import ReplicaConnection
from bramleylead.gateway._replica_connection import owned
from bramleylead.gateway._replica_streams import ConnectFailure
from bramleylead.gateway._upstream import UpstreamConnection
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.platform._types import Replica

log = structlog.get_logger()


@final
class ReplicaConnections:
    """Chooses the path of each request to its replica.

    :param pool: the direct connections.
    """

    def __init__(self, pool: ConnectionPool, paths: ReplicaPaths, relays: Relays) -> None:
        self._pool = pool
        self._paths = paths
        self._relays = relays

    @asynccontextmanager
    async def use(
        self, replica: Replica, *, idempotent: bool, deadline: float
    ) -> AsyncIterator[Result[ConnectionUse[ReplicaConnection], ConnectFailure]]:
        """Use a connection for one request; on exit it is kept for the next one or closed.

        An ``Err`` means that nothing was sent. The parameters are those of :meth:`acquire`.
        """
        acquired = await self.acquire(replica, idempotent=idempotent, deadline=deadline)
        async with owned(acquired, partial(self._release, replica)) as use:
            yield use

    async def acquire(
        self, replica: Replica, *, idempotent: bool, deadline: float
    ) -> Result[ReplicaConnection, ConnectFailure]:
        """Return a connection; an ``Err`` means that nothing was sent.

        :param idempotent: whether the request may be sent to another replica if this one falls
            silent.
        :param deadline: the event loop's time by which the request is given up.
        """
        if self._needs_relay(replica):
            idle = await self._pool.take_idle(replica, idempotent=idempotent)
            return Ok(idle or self._through_gateway(replica, idempotent, deadline))
        direct = await self._pool.acquire(replica, idempotent=idempotent)
        if isinstance(direct, Err) and self._needs_relay(replica):
            return Ok(self._through_gateway(replica, idempotent, deadline))
        return direct

    async def has_crashed(self, replica: Replica) -> bool:
        """Return whether a replica whose connection was lost has crashed: it refuses the next one.

        If others are lost at the same time, the network may be the cause, and another gateway is
        asked.
        """
        self._paths.record_broken(replica.name, now=anyio.current_time())
        if not self._paths.is_lost:
            if not await self._pool.is_refused(replica):
                return False
            now = anyio.current_time()
            if not self._paths.is_suspect(now=now) and not self._paths.broke_together(now=now):
                return True
        confirmation = await self._relays.check(replica)
        if confirmation is None:
            return not self._paths.is_lost
        return confirmation.reach is Reach.REFUSED

    async def _release(self, replica: Replica, use: ConnectionUse) -> None:
        if isinstance(use.connection, UpstreamConnection):
            await self._pool.release(replica, use)
        else:
            await use.connection.aclose()

    def _needs_relay(self, replica: Replica) -> bool:
        """Return whether to use another gateway; on suspicion alone, only if one is known."""
        if not self._paths.needs_relay(replica.name, now=anyio.current_time()):
            return False
        return self._paths.is_lost or self._relays.any_known

    def _through_gateway(
        self, replica: Replica, idempotent: bool, deadline: float
    ) -> RelayedConnection:
        return RelayedConnection(self._relays, replica, idempotent=idempotent, deadline=deadline)
