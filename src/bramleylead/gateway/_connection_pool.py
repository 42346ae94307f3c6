"""A pool of idle connections to replicas, which later requests reuse."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import NamedTuple
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import Network
from bramleylead.gateway._relay_messages import Reach
from bramleylead.gateway._replica_connection import ConnectionUse
from bramleylead.gateway._replica_connection import owned
from bramleylead.gateway._replica_streams import ConnectFailure
from bramleylead.gateway._replica_streams import ReplicaStreams
from bramleylead.gateway._upstream import UpstreamConnection
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.platform._types import Replica

CONNECT_TIMEOUT_S = 0.4
"""Shorter than the second after which TCP resends a lost SYN: trying another replica is faster."""
CHECK_TIMEOUT_S = 0.1
"""A host without a listener refuses a connection at once; a request waits for the check."""
PROBE_TIMEOUT_S = 0.25
REFUSAL_VALID_S = 0.5
DEFAULT_KEEP_ALIVE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.0
"""A connection is no longer reused this long before the replica's announced keep-alive timeout: a
request that crosses the replica's close may have run, and an unsafe one can't be sent again."""

log = structlog.get_logger()


class _Use(NamedTuple):
    """A request that is running on a connection."""

    replica: Replica
    idempotent: bool
    since: float


@final
class ConnectionPool:
    """The idle connections of one gateway, by replica.

    :param paths: learns which replicas can be reached.
    """

    def __init__(self, network: Network, *, id_header: str, paths: ReplicaPaths) -> None:
        self._streams = ReplicaStreams(network, close_idle=self._close_idle)
        self._id_header = id_header
        self._paths = paths
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._in_use: dict[UpstreamConnection, _Use] = {}
        self._refused_at: dict[str, float] = {}
        self.opened = 0

    @property
    def has_any_idle(self) -> bool:
        """Whether there is an idle connection to any replica."""
        return any(self._idle.values())

    @property
    def in_use(self) -> int:
        """The connections that carry a request now."""
        return len(self._in_use)

    @asynccontextmanager
    async def use(
        self, replica: Replica, *, idempotent: bool, may_reuse: bool
    ) -> AsyncIterator[Result[ConnectionUse[UpstreamConnection], ConnectFailure]]:
        """Use a connection for one request; on exit it is kept for the next one or closed.

        An ``Err`` means that nothing was sent. The parameters are those of :meth:`acquire`.
        """
        acquired = await self.acquire(replica, idempotent=idempotent, may_reuse=may_reuse)
        async with owned(acquired, partial(self.release, replica)) as use:
            yield use

    async def acquire(
        self, replica: Replica, *, idempotent: bool, may_reuse: bool = True
    ) -> Result[UpstreamConnection, ConnectFailure]:
        """Return an idle connection or open one; an ``Err`` means that nothing was sent.

        :param idempotent: whether the request may be sent again if nothing passes any more.
        :param may_reuse: whether an idle connection will do; a new one shows that the path works.
        """
        if may_reuse:
            connection = await self.take_idle(replica, idempotent=idempotent)
            if connection is not None:
                return Ok(connection)
        opened = await self._connect(replica)
        if isinstance(opened, Ok):
            self._record_use(opened.ok_value, replica, idempotent)
        return opened

    async def take_idle(self, replica: Replica, *, idempotent: bool) -> UpstreamConnection | None:
        """Return a connection that the replica has not closed yet, if there is one."""
        idle = self._idle.get(replica.name, [])
        while idle:
            connection = idle.pop()
            # A replica may have started again under its name elsewhere.
            is_current = connection.address == replica.address
            is_open = anyio.current_time() < connection.reuse_until and connection.is_idle()
            if is_current and is_open:
                self._record_use(connection, replica, idempotent)
                return connection
            await connection.aclose()
        return None

    async def is_refused(self, replica: Replica) -> bool:
        """Return whether a replica's host refuses connections, as after the end of its process."""
        refused_at = self._refused_at.get(replica.name, float("-inf"))
        if anyio.current_time() - refused_at < REFUSAL_VALID_S:
            return True
        return await self.probe(replica, timeout_s=CHECK_TIMEOUT_S) is Reach.REFUSED

    async def probe(self, replica: Replica, *, timeout_s: float = PROBE_TIMEOUT_S) -> Reach | None:
        """Open a connection, which is kept for the next request, and return what that showed.

        Nothing, if this machine could not make a connection.
        """
        opened = await self._connect(replica, timeout_s=timeout_s)
        if isinstance(opened, Err):
            if opened.err_value.is_local:
                return None
            return Reach.REFUSED if opened.err_value.is_refusal else Reach.SILENT
        opened.ok_value.reuse_until = anyio.current_time() + DEFAULT_KEEP_ALIVE_S
        # The replica may have been removed while the connection was being opened.
        self._idle.setdefault(replica.name, []).append(opened.ok_value)
        return Reach.REACHED

    def waiting_replicas(self, *, for_s: float) -> list[Replica]:
        """Return the replicas whose connections have been in use for some time, longest first."""
        now = anyio.current_time()
        uses = sorted(self._in_use.values(), key=lambda use: use.since)
        waiting = {use.replica.name: use.replica for use in uses if now - use.since >= for_s}
        return list(waiting.values())

    async def abandon_silent(self, *, for_s: float) -> int:
        """Close the idle connections, and give up the idempotent requests that wait for long.

        Other requests are not given up: a response may still arrive.

        :returns: the number of requests given up.
        """
        now = anyio.current_time()
        # Other requests add replicas while a connection is being closed.
        for idle in list(self._idle.values()):
            while idle:
                await idle.pop().aclose()
        given_up = [
            connection
            for connection, use in self._in_use.items()
            if use.idempotent and now - use.since >= for_s
        ]
        for connection in given_up:
            connection.abandon()
        return len(given_up)

    async def release(self, replica: Replica, use: ConnectionUse[UpstreamConnection]) -> None:
        """Return a connection to the pool if it can be reused, or close it."""
        connection, keep_alive_s = use.connection, use.keep_alive_s
        self._in_use.pop(connection, None)
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
        for name in self._refused_at.keys() - names:
            del self._refused_at[name]
        self._paths.forget(self._paths.known_replicas() - names)
        for name in [name for name in self._idle if name not in names]:
            for connection in self._idle.pop(name):
                await connection.aclose()

    async def close_expired(self) -> None:
        """Close the idle connections that have expired."""
        now = anyio.current_time()
        # Other requests add replicas while a connection is being closed.
        for idle in list(self._idle.values()):
            expired = [connection for connection in idle if connection.reuse_until <= now]
            idle[:] = [connection for connection in idle if connection.reuse_until > now]
            for connection in expired:
                await connection.aclose()

    def _record_use(
        self, connection: UpstreamConnection, replica: Replica, idempotent: bool
    ) -> None:
        self._in_use[connection] = _Use(replica, idempotent, anyio.current_time())

    async def _connect(
        self, replica: Replica, *, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Result[UpstreamConnection, ConnectFailure]:
        self._idle.setdefault(replica.name, [])
        self._refused_at.pop(replica.name, None)
        opened = await self._streams.open(replica.address, timeout_s=timeout_s)
        if isinstance(opened, Err):
            self._record_failure(replica, opened.err_value)
            return opened
        self.opened += 1
        self._paths.record_reached(replica.name, now=anyio.current_time())
        connection = UpstreamConnection(
            opened.ok_value,
            address=replica.address,
            id_header=self._id_header,
            on_received=self._record_heard,
        )
        return Ok(connection)

    def _record_failure(self, replica: Replica, failure: ConnectFailure) -> None:
        """Record what a failure to connect tells of a replica and of the path to it."""
        if failure.is_local:
            return
        if failure.is_refusal:
            self._refused_at[replica.name] = anyio.current_time()
        self._paths.record_unreached(replica.name, now=anyio.current_time())

    async def _close_idle(self) -> None:
        """Close the idle connection that expires first, to whichever replica."""
        idle = min(filter(None, self._idle.values()), key=_first_expiry, default=None)
        if idle is not None:
            connection = min(idle, key=lambda each: each.reuse_until)
            idle.remove(connection)
            await connection.aclose()

    def _record_heard(self) -> None:
        self._paths.record_heard(now=anyio.current_time())


def _first_expiry(idle: list[UpstreamConnection]) -> float:
    return min(connection.reuse_until for connection in idle)
