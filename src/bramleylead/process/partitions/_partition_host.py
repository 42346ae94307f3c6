"""Everything about partitions on one node: the one entrance for the rest of the node."""

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
from bramleylead.node_settings import NodeSettings
from bramleylead.platform._store import ObjectStore
from bramleylead.process.journal._journal_flush import JournalFlusher
from bramleylead.process.journal._log import PartitionLog
from bramleylead.process.membership._members import MemberList
from bramleylead.process.partitions._owner_map import OwnerMap
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_audit import PartitionAudit
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_context import PartitionMetrics
from bramleylead.process.partitions._partition_dump import dump_partitions
from bramleylead.process.partitions._partition_messages import AskOwner
from bramleylead.process.partitions._partition_messages import OwnerIs
from bramleylead.process.partitions._partition_repair import PairRepair
from bramleylead.process.partitions._partition_survey import PartitionSurvey
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._partition_takeover import Takeover
from bramleylead.process.partitions._partition_upkeep import PartitionUpkeep
from bramleylead.process.partitions._replica import ReplicaKeeper
from bramleylead.promises import Promises

BOOT_BYTES = 8


@final
class PartitionHost:
    """A node's partitions. Implements ``PartitionDirectory``; a context manager owning its tasks.

    :param on_owned: called, without waiting, when this node begins to serve a partition. What was
        intended and not finished is then in the partition's state.
    :param on_lost: called when it stops serving one.
    :param idle: whether a partition may move to another node now; one with running calls may not.
    :param boot: identity of this process, the same that membership tells.
    :raises ValueError: if a takeover could come before the act lease has ended.
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
        idle: Callable[[int], bool] = lambda _: True,
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
        self.owner_map = OwnerMap(self._context, here=self._here)
        self._repair = PairRepair(self._context, self.table)
        self.keeper = ReplicaKeeper(
            self._context, server, on_silent=self._on_silent, owns=self._owned_epoch
        )
        self.takeover = Takeover(
            self._context, server, self.table, self.keeper, self._repair, self.owner_map
        )
        self.flusher = JournalFlusher(self._context, self.table)
        self.upkeep = PartitionUpkeep(
            self._context, self.table, self.keeper, self.takeover, self.flusher, idle
        )
        self.audit = PartitionAudit(self._context, self.table, self.flusher)
        self.survey = PartitionSurvey(
            self._context, server, self.table, self.owner_map, self._repair
        )
        self.table.on_broken = self._on_broken
        server.handle(AskOwner, self._answer_owner)
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self.table.start(tasks)
        for loop in (
            self.keeper.watch_owners,
            self.table.watch_links,
            self.owner_map.run,
            self.survey.run,
            self.flusher.run,
            self.upkeep.run,
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
        """Return the partition's journal when this node owns it and serves it."""
        return self.table.owned.get(partition)

    def owner_address(self, partition: int) -> str | None:
        """Return the peer address of the owner as far as this node knows."""
        return self.owner_map.address(partition)

    def forget_owner(self, partition: int, address: str) -> None:
        """Take in that this address is not the owner; peers and the store are asked again."""
        self.owner_map.forget(partition, address)

    def dump(self) -> dict[str, Any]:
        """Return the partitions of this node for the state dump."""
        return dump_partitions(self.table, self.keeper)

    async def leave(self) -> None:
        """Hand every partition over before a planned stop, and wait until no pair needs this node.

        Membership must say first that this node is leaving. Bound the wait by a cancel scope.
        """
        await self.upkeep.leave()

    def _here(self, partition: int) -> OwnerIs | None:
        settings = self._context.settings
        owned = self.table.owned.get(partition)
        if owned is not None:
            return OwnerIs(
                partition, owned.epoch, settings.node, settings.peer_address, True, False
            )
        replica = self.keeper.replicas.get(partition)
        if replica is not None:
            return OwnerIs(partition, replica.epoch, replica.owner, "", False, True)
        return None

    async def _answer_owner(self, request: AskOwner, reply: Reply) -> None:
        here = self._here(request.partition)
        epoch = self.owner_map.epoch(request.partition)
        if here is None or (not here.serving and epoch >= here.epoch):
            address = self.owner_map.known_address(request.partition)
            holds = here is not None
            here = OwnerIs(request.partition, epoch, "", address, False, holds)
        await reply.send(here)

    def _owned_epoch(self, partition: int) -> int:
        owned = self.table.owned.get(partition)
        return 0 if owned is None else owned.epoch

    def _on_silent(self, replica: Any) -> None:
        self.takeover.on_silent(replica)

    def _on_broken(self, partition: OwnedPartition) -> None:
        self._context.metrics.event("pair_broken")
        self.table.spawn(self._repair.run, partition)
