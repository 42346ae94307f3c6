"""Sends requests to replicas for gateways that can't reach them."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import anyio
import structlog
from result import Err

from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._relay_messages import CheckReplica
from bramleylead.gateway._relay_messages import Reach
from bramleylead.gateway._relay_messages import RelayBroken
from bramleylead.gateway._relay_messages import RelayedChunk
from bramleylead.gateway._relay_messages import RelayedEnd
from bramleylead.gateway._relay_messages import RelayedHead
from bramleylead.gateway._relay_messages import RelayRefusal
from bramleylead.gateway._relay_messages import RelayRefused
from bramleylead.gateway._relay_messages import RelayRequest
from bramleylead.gateway._relay_messages import ReplicaChecked
from bramleylead.gateway._replica_connection import ConnectionUse
from bramleylead.gateway._replica_connection import RequestHead
from bramleylead.gateway._replica_connection import ResponseHead
from bramleylead.gateway._replica_connection import UpstreamError
from bramleylead.gateway._replica_connection import exchange_heads
from bramleylead.gateway._replica_connection import sending_tasks
from bramleylead.gateway._upstream import UpstreamConnection
from bramleylead.ledger._relay_table import NO_RELAY
from bramleylead.ledger._relay_table import RelayGateway
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.platform import _wire as wire
from bramleylead.platform._types import NO_SOFTWARE
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Software

MAX_RELAYED_REQUESTS = 256
"""Requests of other gateways that are carried at once; their bodies are held in memory."""

log = structlog.get_logger()


@final
class RelayServer:
    """Takes the requests of other gateways; never passes them on to a third one.

    :param offer: how this gateway reports itself while it takes requests.
    :param is_stopping: returns whether it has been asked to stop.
    """

    def __init__(
        self,
        directory: Directory,
        connections: ConnectionPool,
        paths: ReplicaPaths,
        *,
        offer: RelayGateway,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._paths = paths
        self._offer = offer
        self._is_stopping = is_stopping
        self.running = 0

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handlers of the other gateways' messages."""
        server.handle(RelayRequest, self._relay)
        server.handle(CheckReplica, self._check)

    def current_offer(self) -> RelayGateway:
        """Return how this gateway reports itself now."""
        if self._paths.is_lost or self._is_stopping():
            return NO_RELAY._replace(node=self._offer.node)
        return self._offer

    async def _check(self, request: CheckReplica, reply: Reply) -> None:
        replica = self._find(request.replica)
        if isinstance(replica, RelayRefusal):
            await reply.send(ReplicaChecked(Reach.SILENT, replica))
            return
        reach = await self._connections.probe(replica)
        if reach is None:
            await reply.send(ReplicaChecked(Reach.SILENT, RelayRefusal.BUSY))
            return
        await reply.send(ReplicaChecked(reach))

    async def _relay(self, request: RelayRequest, reply: Reply) -> None:
        self.running += 1
        try:
            with anyio.move_on_after(request.timeout_s):
                await self._send(request, reply)
        finally:
            self.running -= 1

    async def _send(self, request: RelayRequest, reply: Reply) -> None:
        replica = self._find(request.replica, request.software)
        if self.running > MAX_RELAYED_REQUESTS:
            replica = RelayRefusal.BUSY
        if isinstance(replica, RelayRefusal):
            await self._refuse(request, reply, replica)
            return
        # This gateway may have lost its paths too without notice. What may run once can't be sent
        # again after an idle connection has turned out to be dead.
        async with self._connections.use(
            replica, idempotent=request.idempotent, may_reuse=request.idempotent
        ) as used:
            if isinstance(used, Err):
                is_local = used.err_value.is_local
                reason = RelayRefusal.BUSY if is_local else RelayRefusal.UNREACHED
                await self._refuse(request, reply, reason)
            elif not self._directory.is_current(replica):
                await self._refuse(request, reply, RelayRefusal.NOT_LISTED)
            else:
                await self._pass_response(request, reply, replica, used.ok_value)

    async def _pass_response(
        self,
        request: RelayRequest,
        reply: Reply,
        replica: Replica,
        use: ConnectionUse[UpstreamConnection],
    ) -> None:
        """Send the request and pass on the response."""
        head = RequestHead(
            request.method, request.target, list(request.headers), request.request_id
        )
        async with sending_tasks(request.body) as tasks:
            try:
                response = await exchange_heads(use.connection, head, request.body, tasks)
                metadata = wire.read_answer(response.header_map())
                use.keep_alive_s = metadata.keep_alive_s
                if metadata.leaving:
                    self._directory.record_leaving(replica)
                await _pass_on(response, use.connection, reply)
                self._log_relayed(request, reply, response)
            except UpstreamError as error:
                await reply.send(RelayBroken(str(error), error.connection_lost, error.path_lost))

    def _log_relayed(self, request: RelayRequest, reply: Reply, response: ResponseHead) -> None:
        log.info(
            "request_relayed",
            request=request.request_id,
            replica=request.replica,
            gateway=reply.peer,
            status=response.status,
        )

    def _find(self, name: str, software: Software = NO_SOFTWARE) -> Replica | RelayRefusal:
        """Return a replica, or why nothing may be sent to it from here.

        :param software: what it must run, if specified.
        """
        if self._is_stopping():
            return RelayRefusal.STOPPING
        if self._paths.is_lost:
            return RelayRefusal.CUT_OFF
        replica = self._directory.find(name)
        if replica is None or not self._directory.is_usable(name):
            return RelayRefusal.NOT_LISTED
        if software not in (NO_SOFTWARE, replica.software):
            return RelayRefusal.NOT_LISTED
        return replica

    async def _refuse(self, request: RelayRequest, reply: Reply, reason: RelayRefusal) -> None:
        log.info(
            "relay_refused",
            request=request.request_id,
            replica=request.replica,
            gateway=reply.peer,
            reason=reason,
        )
        await reply.send(RelayRefused(reason))


async def _pass_on(response: ResponseHead, connection: UpstreamConnection, reply: Reply) -> None:
    """Pass on a response as it arrives.

    :raises UpstreamError: if it ends before it is complete.
    """
    await reply.send(RelayedHead(response.status, tuple(response.headers)))
    while (chunk := await connection.read_chunk()) is not None:
        await reply.send(RelayedChunk(chunk))
    await reply.send(RelayedEnd())
