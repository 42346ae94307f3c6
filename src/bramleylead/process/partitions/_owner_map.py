"""What this node knows of the owners of partitions, and how it learns better.

A wrong entry is corrected by asking peers first: the former second copy is the most likely new
owner. Only what no peer knows is read from the store, at a limited rate, so that a rack's loss
does not make every node read every object.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import final

import anyio
from result import Ok

from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import AskOwner
from bramleylead.process.partitions._partition_messages import Assign
from bramleylead.process.partitions._partition_messages import OwnerIs
from bramleylead.process.partitions._partition_record import PartitionRecord
from bramleylead.process.partitions._partition_record import read_record
from bramleylead.process.partitions._rendezvous import owners

ASK_TIMEOUT_S = 0.3
ASK_PAUSE_S = 0.1
STORE_READS_PER_S = 2.0
PEERS_ASKED = 2
UNSERVED_AFTER_S = 10.0


class KnownOwner(NamedTuple):
    """An owner as far as known: hints of a lower epoch than this are ignored."""

    epoch: int
    address: str
    second: str = ""


@final
class OwnerMap:
    """Owners' addresses by partition.

    :param here: what this node can say itself about a partition.
    """

    def __init__(self, context: PartitionContext, *, here: Callable[[int], OwnerIs | None]) -> None:
        self._context = context
        self.here = here
        self._known: dict[int, KnownOwner] = {}
        self._wrong: dict[int, set[str]] = {}
        self._wrong_since_s: dict[int, float] = {}
        self._wake = anyio.Event()
        self._next_read_s = 0.0

    def address(self, partition: int) -> str | None:
        """Return the owner's address, or ``None`` while it is being looked up."""
        own = self.here(partition)
        if own is not None and own.serving:
            return own.address
        known = self._known.get(partition)
        if known is None or known.address in self._wrong.get(partition, ()):
            self._look_up(partition)
            return None
        return known.address

    def learn(self, partition: int, epoch: int, address: str, second: str = "") -> None:
        """Take in who owns a partition at an epoch."""
        known = self._known.get(partition)
        if known is not None and known.epoch > epoch:
            return
        if known is not None and known.epoch == epoch and not second:
            second = known.second
        self._known[partition] = KnownOwner(epoch, address, second)
        if known is None or epoch > known.epoch:
            self._wrong.pop(partition, None)

    def learn_record(self, partition: int, record: PartitionRecord) -> None:
        """Take in a partition object."""
        second = "" if record.second is None else record.second.address
        self.learn(partition, record.epoch, record.owner.address, second)

    def forget(self, partition: int, address: str) -> None:
        """Take in that the address does not own the partition; it may again later."""
        self._wrong.setdefault(partition, set()).add(address)
        self._look_up(partition)

    def epoch(self, partition: int) -> int:
        """Return the highest epoch known of a partition, 0 if none."""
        known = self._known.get(partition)
        return 0 if known is None else known.epoch

    def known_address(self, partition: int) -> str:
        """Return the address last known for the owner, empty if none."""
        known = self._known.get(partition)
        return "" if known is None else known.address

    async def run(self) -> None:
        """Look up what is wrong or missing, until cancelled: one round at a time."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            for partition in sorted(self._wrong):
                await self._ask(partition)
                await self._report_unserved(partition)
            await anyio.sleep(ASK_PAUSE_S)
            if self._wrong:
                self._wake.set()

    def _look_up(self, partition: int) -> None:
        self._wrong.setdefault(partition, set())
        self._wake.set()

    async def _ask(self, partition: int) -> None:
        for address in self._whom_to_ask(partition):
            answer = await self._context.client.request(
                address, AskOwner(partition), timeout_s=ASK_TIMEOUT_S
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, OwnerIs):
                self._take(answer.ok_value, address)
            if partition not in self._wrong:
                return
        await self._read(partition)

    def _whom_to_ask(self, partition: int) -> list[str]:
        own = self._context.settings.peer_address
        known = self._known.get(partition)
        likely = [] if known is None else [known.second, known.address]
        ranking = owners(partition, self._context.members.alive())
        likely += [member.address for member in ranking[:PEERS_ASKED]]
        return [address for address in dict.fromkeys(likely) if address not in ("", own)]

    def _take(self, answer: OwnerIs, address: str) -> None:
        if answer.serving:
            self.learn(answer.partition, answer.epoch, address)
            self._wrong.pop(answer.partition, None)
        elif answer.address and answer.epoch > self.epoch(answer.partition):
            self.learn(answer.partition, answer.epoch, answer.address)

    async def _report_unserved(self, partition: int) -> None:
        """Ask the node that should own a partition to look, when nobody serves it for long."""
        now = anyio.current_time()
        if partition not in self._wrong:
            self._wrong_since_s.pop(partition, None)
            return
        since = self._wrong_since_s.setdefault(partition, now)
        if now - since < UNSERVED_AFTER_S:
            return
        self._wrong_since_s[partition] = now
        for member in owners(partition, self._context.members.alive())[:1]:
            await self._context.client.request(
                member.address, Assign((partition,)), timeout_s=ASK_TIMEOUT_S
            )

    async def _read(self, partition: int) -> None:
        now = anyio.current_time()
        if now < self._next_read_s:
            return
        self._next_read_s = now + 1 / STORE_READS_PER_S
        read = await read_record(self._context.store, partition)
        if not isinstance(read, Ok) or read.ok_value is None:
            return
        self.learn_record(partition, read.ok_value.record)
        if read.ok_value.record.owner.address not in self._wrong.get(partition, ()):
            self._wrong.pop(partition, None)
