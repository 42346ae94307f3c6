"""Entry point to the partitions of a node for all other packages."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any
from typing import Self
from typing import final

import anyio
from aioprometheus import Registry

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.fleet._members import MemberList
from bramleylead.node_settings import NodeSettings
from bramleylead.platform._store import ObjectStore
from bramleylead.process.journal._journal_flush import JournalFlusher
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.process.partitions._owner_map import OwnerMap
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_audit import PartitionAudit
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_context import PartitionMetrics
from bramleylead.process.partitions._partition_dump import dump_partitions
from bramleylead.process.partitions._partition_messages import AskOwner
from bramleylead.process.partitions._partition_messages import OwnerIs
from bramleylead.process.partitions._partition_rebalancer import PartitionRebalancer
from bramleylead.process.partitions._partition_repair import PairRepair
from bramleylead.process.partitions._partition_scanner import PartitionScanner
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._partition_takeover import Takeover
from bramleylead.process.partitions._replica import ReplicaServer
from bramleylead.promises import Promises

BOOT_BYTES = 8


@final
class PartitionHost:
    """A node's partitions. Implements ``PartitionDirectory``; a context manager owning its tasks.

    :param settings: validated, so that no takeover can start before the act lease has expired.
    :param on_owned: called synchronously when this node starts to serve a partition. The state
        then contains calls that were intended but not finished.
    :param on_lost: called when this node stops serving a partition.
    :param may_move: whether a partition may move to another node; not while it has running calls.
    :param boot: identity of this process, as announced by membership.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: ObjectStore,
        client: PeerClient,
        server: PeerServer,
        members: MemberList,
        promises: Promises,
        registry: Registry,
        *,
        wall_clock: Callable[[], float],
        on_owned: Callable[[OwnedPartition], None] = lambda _: None,
        on_lost: Callable[[int], None] = lambda _: None,
        may_move: Callable[[int], bool] = lambda _: True,
        boot: str = "",
    ) -> None:
        self._context = PartitionContext(
            settings=settings,
            store=store,
            client=client,
            members=members,
            promises=promises,
            metrics=PartitionMetrics(registry),
            boot=boot or secrets.token_hex(BOOT_BYTES),
            wall_clock=wall_clock,
        )
        self.table = PartitionTable(self._context, on_owned=on_owned, on_lost=on_lost)
        self.owner_map = OwnerMap(self._context, local_owner=self._local_owner)
        self._repair = PairRepair(self._context, self.table)
        self.replica_server = ReplicaServer(
            self._context,
            server,
            on_owner_silent=self._on_owner_silent,
            owned_epoch=self._owned_epoch,
        )
        self.takeover = Takeover(
            self._context, server, self.table, self.replica_server, self._repair, self.owner_map
        )
        self.flusher = JournalFlusher(self._context, self.table)
        self.rebalancer = PartitionRebalancer(
            self._context, self.table, self.replica_server, self.takeover, self.flusher, may_move
        )
        self.audit = PartitionAudit(self._context, self.table, self.flusher)
        self.scanner = PartitionScanner(
            self._context, server, self.table, self.owner_map, self._repair
        )
        self.table.on_pair_broken = self._on_pair_broken
        server.handle(AskOwner, self._handle_ask_owner)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self.table.start(tasks)
        for loop in (
            self.replica_server.watch_owners,
            self.table.watch_links,
            self.owner_map.run,
            self.scanner.run,
            self.flusher.run,
            self.rebalancer.run,
            self.audit.run,
        ):
            tasks.start_soon(loop)
        self._stack.callback(tasks.cancel_scope.cancel)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        return await self._stack.__aexit__(kind, error, trace)

    def log(self, partition: int) -> PartitionLog | None:
        """Return the partition's journal if this node owns and serves the partition."""
        return self.table.owned.get(partition)

    def owner_address(self, partition: int) -> str | None:
        """Return the peer address of the owner, or ``None`` if it is not known yet."""
        return self.owner_map.address(partition)

    def forget_owner(self, partition: int, address: str) -> None:
        """Mark an address as not the owner, so that peers and the store are queried again."""
        self.owner_map.reject_address(partition, address)

    def dump(self) -> dict[str, Any]:
        """Return this node's partitions for the state dump."""
        return dump_partitions(self.table, self.replica_server)

    async def leave(self) -> None:
        """Hand over all partitions before a planned stop, and wait until no pair needs this node.

        Membership must announce first that this node is leaving. Limit the wait by a cancel scope.
        """
        await self.rebalancer.leave()

    def _local_owner(self, partition: int) -> OwnerIs | None:
        settings = self._context.settings
        owned = self.table.owned.get(partition)
        if owned is not None:
            return OwnerIs(
                partition, owned.epoch, settings.node, settings.peer_address, True, False
            )
        replica = self.replica_server.replicas.get(partition)
        if replica is not None:
            return OwnerIs(partition, replica.epoch, replica.owner, "", False, True)
        return None

    async def _handle_ask_owner(self, request: AskOwner, reply: Reply) -> None:
        known = self._local_owner(request.partition)
        epoch = self.owner_map.cached_epoch(request.partition)
        if known is None or (not known.serving and epoch >= known.epoch):
            address = self.owner_map.cached_address(request.partition)
            holds_copy = known is not None
            known = OwnerIs(request.partition, epoch, "", address, False, holds_copy)
        await reply.send(known)

    def _owned_epoch(self, partition: int) -> int:
        owned = self.table.owned.get(partition)
        return 0 if owned is None else owned.epoch

    def _on_owner_silent(self, replica: Any) -> None:
        self.takeover.on_owner_silent(replica)

    def _on_pair_broken(self, partition: OwnedPartition) -> None:
        self._context.metrics.event("pair_broken")
        self.table.spawn(self._repair.run, partition)
