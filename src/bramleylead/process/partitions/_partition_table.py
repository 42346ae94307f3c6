"""The partitions that this node owns, and the links to their second copies."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import final

import anyio
from anyio.abc import TaskGroup

from bramleylead.process.journal._journal_copy import JournalCopy
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_link import PartitionLink
from bramleylead.process.partitions._partition_record import StoredRecord

NOTE_TIMEOUT_S = 1.0

OwnedHook = Callable[[OwnedPartition], None]
LostHook = Callable[[int], None]


@final
class PartitionTable:
    """Owned partitions by number.

    :param on_owned: called when this node begins to serve a partition.
    :param on_lost: called when it stops.
    """

    def __init__(
        self, context: PartitionContext, *, on_owned: OwnedHook, on_lost: LostHook
    ) -> None:
        self.owned: dict[int, OwnedPartition] = {}
        self.links: dict[str, PartitionLink] = {}
        self.on_broken: OwnedHook = _ignore
        self._context = context
        self._on_owned = on_owned
        self._on_lost = on_lost
        self._tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        """Run links in this task group."""
        self._tasks = tasks

    def create(self, number: int, stored: StoredRecord, copy: JournalCopy) -> OwnedPartition:
        """Return a partition that this node is about to own."""
        return OwnedPartition(
            self._context,
            number,
            stored,
            copy,
            on_broken=lambda partition: self.on_broken(partition),
            on_ready=self._wake,
        )

    def serve(self, partition: OwnedPartition) -> None:
        """Begin to serve a partition."""
        self.owned[partition.number] = partition
        self._on_owned(partition)

    def retire(self, partition: OwnedPartition) -> None:
        """Stop serving a partition."""
        partition.lose()
        self.disconnect(partition)
        if self.owned.get(partition.number) is partition:
            del self.owned[partition.number]
            self._on_lost(partition.number)

    def connect(self, partition: OwnedPartition) -> None:
        """Carry a partition on the link to its second copy, and on no other."""
        self.disconnect(partition)
        second = partition.record.second
        if second is not None:
            self._link(second.address).add(partition)

    def disconnect(self, partition: OwnedPartition) -> None:
        """Take a partition off its link; a link without partitions is closed."""
        for address, link in list(self.links.items()):
            if link.partitions.get(partition.number) is partition:
                link.remove(partition.number)
            if not link.partitions:
                link.scope.cancel()
                del self.links[address]

    def tell(self, address: str, note: tuple[Any, ...]) -> None:
        """Send a message that nothing depends on."""
        self.spawn(self._tell, address, note)

    def spawn(self, function: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
        """Run a task beside the links; nothing runs any more once the node has stopped."""
        assert self._tasks is not None, "PartitionTable is used before start()"
        if self._tasks.cancel_scope.cancel_called:
            return
        self._tasks.start_soon(function, *arguments)

    async def _tell(self, address: str, note: tuple[Any, ...]) -> None:
        await self._context.client.request(address, note, timeout_s=NOTE_TIMEOUT_S)

    async def watch_links(self) -> None:
        """Break the pairs whose second copy fell silent, until cancelled."""
        while True:
            await anyio.sleep(self._context.settings.partitions.heartbeat_s / 2)
            for link in list(self.links.values()):
                link.break_overdue()

    def _link(self, address: str) -> PartitionLink:
        link = self.links.get(address)
        if link is None:
            link = PartitionLink(self._context, address)
            self.links[address] = link
            self.spawn(link.run)
        return link

    def _wake(self, partition: OwnedPartition) -> None:
        second = partition.record.second
        link = None if second is None else self.links.get(second.address)
        if link is not None and partition.number in link.partitions:
            link.wake(partition)


def _ignore(_: OwnedPartition) -> None:
    return None
