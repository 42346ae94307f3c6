"""Caches the owners of partitions, and refreshes outdated entries.

An outdated entry is refreshed from peers first; the former second copy is the most likely new
owner. The store is read only if no peer knows the owner, and at a limited rate, so that the loss
of a rack does not make every node read every object.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import final

import anyio
from result import Ok

from bramleylead.fleet._rendezvous import rank_owners
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import AskOwner
from bramleylead.process.partitions._partition_messages import Assign
from bramleylead.process.partitions._partition_messages import OwnerIs
from bramleylead.process.partitions._partition_record import PartitionRecord
from bramleylead.process.partitions._partition_record import read_record

PEER_TIMEOUT_S = 0.3
REFRESH_INTERVAL_S = 0.1
STORE_READS_PER_S = 2.0
RANKED_PEERS_ASKED = 2
UNSERVED_REPORT_AFTER_S = 10.0


class CachedOwner(NamedTuple):
    """A cached owner; updates with a lower epoch are ignored."""

    epoch: int
    address: str
    second: str = ""


@final
class OwnerMap:
    """Addresses of owners by partition.

    :param local_owner: returns this node's own answer if it owns the partition or holds its copy.
    """

    def __init__(
        self, context: PartitionContext, *, local_owner: Callable[[int], OwnerIs | None]
    ) -> None:
        self._context = context
        self.local_owner = local_owner
        self._cache: dict[int, CachedOwner] = {}
        self._lookups: dict[int, set[str]] = {}
        self._unserved_since_s: dict[int, float] = {}
        self._wake = anyio.Event()
        self._next_read_s = 0.0

    def address(self, partition: int) -> str | None:
        """Return the owner's address, or ``None`` while a lookup is in progress."""
        local = self.local_owner(partition)
        if local is not None and local.serving:
            return local.address
        cached = self._cache.get(partition)
        if cached is None or cached.address in self._lookups.get(partition, ()):
            self._look_up(partition)
            return None
        return cached.address

    def update_owner(self, partition: int, epoch: int, address: str, second: str = "") -> None:
        """Update the cached owner of a partition unless a higher epoch is known."""
        cached = self._cache.get(partition)
        if cached is not None and cached.epoch > epoch:
            return
        if cached is not None and cached.epoch == epoch and not second:
            second = cached.second
        self._cache[partition] = CachedOwner(epoch, address, second)
        if cached is None or epoch > cached.epoch:
            self._lookups.pop(partition, None)

    def update_from_record(self, partition: int, record: PartitionRecord) -> None:
        """Update the cached owner from a partition object."""
        second = "" if record.second is None else record.second.address
        self.update_owner(partition, record.epoch, record.owner.address, second)

    def reject_address(self, partition: int, address: str) -> None:
        """Mark an address as not the owner and start a lookup; a later answer may name it again."""
        self._lookups.setdefault(partition, set()).add(address)
        self._look_up(partition)

    def cached_epoch(self, partition: int) -> int:
        """Return the highest known epoch of a partition, 0 if none."""
        cached = self._cache.get(partition)
        return 0 if cached is None else cached.epoch

    def cached_address(self, partition: int) -> str:
        """Return the last known address of the owner, empty if none."""
        cached = self._cache.get(partition)
        return "" if cached is None else cached.address

    async def run(self) -> None:
        """Refresh missing and outdated owners in rounds, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            for partition in sorted(self._lookups):
                await self._refresh(partition)
                await self._report_unserved(partition)
            await anyio.sleep(REFRESH_INTERVAL_S)
            if self._lookups:
                self._wake.set()

    def _look_up(self, partition: int) -> None:
        self._lookups.setdefault(partition, set())
        self._wake.set()

    async def _refresh(self, partition: int) -> None:
        for address in self._peers_to_ask(partition):
            answer = await self._context.client.request(
                address, AskOwner(partition), timeout_s=PEER_TIMEOUT_S
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, OwnerIs):
                self._apply_answer(answer.ok_value, address)
            if partition not in self._lookups:
                return
        await self._refresh_from_store(partition)

    def _peers_to_ask(self, partition: int) -> list[str]:
        own = self._context.settings.peer_address
        cached = self._cache.get(partition)
        candidates = [] if cached is None else [cached.second, cached.address]
        ranking = rank_owners(partition, self._context.members.alive())
        candidates += [member.address for member in ranking[:RANKED_PEERS_ASKED]]
        return [address for address in dict.fromkeys(candidates) if address not in ("", own)]

    def _apply_answer(self, answer: OwnerIs, address: str) -> None:
        if answer.serving:
            self.update_owner(answer.partition, answer.epoch, address)
            self._lookups.pop(answer.partition, None)
        elif answer.address and answer.epoch > self.cached_epoch(answer.partition):
            self.update_owner(answer.partition, answer.epoch, answer.address)

    async def _report_unserved(self, partition: int) -> None:
        """Ask the preferred owner to check a partition that has had no owner for too long."""
        now = anyio.current_time()
        if partition not in self._lookups:
            self._unserved_since_s.pop(partition, None)
            return
        since = self._unserved_since_s.setdefault(partition, now)
        if now - since < UNSERVED_REPORT_AFTER_S:
            return
        self._unserved_since_s[partition] = now
        for member in rank_owners(partition, self._context.members.alive())[:1]:
            await self._context.client.request(
                member.address, Assign((partition,)), timeout_s=PEER_TIMEOUT_S
            )

    async def _refresh_from_store(self, partition: int) -> None:
        now = anyio.current_time()
        if now < self._next_read_s:
            return
        self._next_read_s = now + 1 / STORE_READS_PER_S
        read = await read_record(self._context.store, partition)
        if not isinstance(read, Ok) or read.ok_value is None:
            return
        self.update_from_record(partition, read.ok_value.record)
        if read.ok_value.record.owner.address not in self._lookups.get(partition, ()):
            self._lookups.pop(partition, None)
