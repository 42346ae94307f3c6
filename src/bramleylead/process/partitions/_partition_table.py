"""The partitions owned by this node, and the links to their second copies."""

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

NOTIFY_TIMEOUT_S = 1.0

OwnedHook = Callable[[OwnedPartition], None]
LostHook = Callable[[int], None]


@final
class PartitionTable:
    """Owned partitions by number.

    :param on_owned: called when this node starts to serve a partition.
    :param on_lost: called when this node stops serving a partition.
    """

    def __init__(
        self, context: PartitionContext, *, on_owned: OwnedHook, on_lost: LostHook
    ) -> None:
        self.owned: dict[int, OwnedPartition] = {}
        self.links: dict[str, PartitionLink] = {}
        self.on_pair_broken: OwnedHook = _ignore
        self._context = context
        self._on_owned = on_owned
        self._on_lost = on_lost
        self._tasks: TaskGroup | None = None

    def start(self, tasks: TaskGroup) -> None:
        """Set the task group that runs the links."""
        self._tasks = tasks

    def create(self, number: int, stored: StoredRecord, copy: JournalCopy) -> OwnedPartition:
        """Return a new partition object that is not served yet."""
        return OwnedPartition(
            self._context,
            number,
            stored,
            copy,
            on_pair_broken=lambda partition: self.on_pair_broken(partition),
            on_ready=self._wake_link,
        )

    def serve(self, partition: OwnedPartition) -> None:
        """Start to serve a partition."""
        self.owned[partition.number] = partition
        self._on_owned(partition)

    def retire(self, partition: OwnedPartition) -> None:
        """Stop serving a partition."""
        partition.mark_lost()
        self.disconnect(partition)
        if self.owned.get(partition.number) is partition:
            del self.owned[partition.number]
            self._on_lost(partition.number)

    def connect(self, partition: OwnedPartition) -> None:
        """Move a partition to the link to its current second copy."""
        self.disconnect(partition)
        second = partition.record.second
        if second is not None:
            self._link_to(second.address).add(partition)

    def disconnect(self, partition: OwnedPartition) -> None:
        """Remove a partition from its link, and close links without partitions."""
        for address, link in list(self.links.items()):
            if link.partitions.get(partition.number) is partition:
                link.remove(partition.number)
            if not link.partitions:
                link.scope.cancel()
                del self.links[address]

    def notify(self, address: str, message: tuple[Any, ...]) -> None:
        """Send a best-effort message in the background."""
        self.spawn(self._send_notification, address, message)

    def spawn(self, function: Callable[..., Awaitable[Any]], *arguments: Any) -> None:
        """Run a task in the task group of the links, unless the node has stopped."""
        assert self._tasks is not None, "PartitionTable.start() has not been called"
        if self._tasks.cancel_scope.cancel_called:
            return
        self._tasks.start_soon(function, *arguments)

    async def _send_notification(self, address: str, message: tuple[Any, ...]) -> None:
        await self._context.client.request(address, message, timeout_s=NOTIFY_TIMEOUT_S)

    async def watch_links(self) -> None:
        """Break pairs whose second copy has timed out, until cancelled."""
        while True:
            await anyio.sleep(self._context.settings.partitions.heartbeat_s / 2)
            for link in list(self.links.values()):
                link.break_overdue()

    def _link_to(self, address: str) -> PartitionLink:
        link = self.links.get(address)
        if link is None:
            link = PartitionLink(self._context, address)
            self.links[address] = link
            self.spawn(link.run)
        return link

    def _wake_link(self, partition: OwnedPartition) -> None:
        second = partition.record.second
        link = None if second is None else self.links.get(second.address)
        if link is not None and partition.number in link.partitions:
            link.wake(partition)


def _ignore(_: OwnedPartition) -> None:
    return None
