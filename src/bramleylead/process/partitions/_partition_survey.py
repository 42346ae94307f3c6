"""Finds partitions without an owner, and partitions that lost both copies.

Every node lists the partition objects once, at its start. After that one node, the first by
rendezvous hashing, does it for the fleet and asks others to claim or recover what it finds; two
nodes that both believe to be the one do no harm, since only the store decides.
"""

from __future__ import annotations

from collections import defaultdict
from typing import final

import anyio
import structlog
from result import Err
from result import Ok

from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection._rpc import Done
from bramleylead.process.journal._journal_copy import JournalCopy
from bramleylead.process.membership._members import MemberState
from bramleylead.process.partitions._owner_map import OwnerMap
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_audit import RECOVERY_WAIT_S
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import AskOwner
from bramleylead.process.partitions._partition_messages import Assign
from bramleylead.process.partitions._partition_messages import OwnerIs
from bramleylead.process.partitions._partition_record import Holder
from bramleylead.process.partitions._partition_record import PartitionRecord
from bramleylead.process.partitions._partition_record import StoredRecord
from bramleylead.process.partitions._partition_record import fresh_token
from bramleylead.process.partitions._partition_record import list_records
from bramleylead.process.partitions._partition_record import read_record
from bramleylead.process.partitions._partition_record import renewed
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_repair import Outcome
from bramleylead.process.partitions._partition_repair import PairRepair
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._recovery import FIRST_EPOCH
from bramleylead.process.partitions._recovery import recover
from bramleylead.process.partitions._rendezvous import owners
from bramleylead.process.partitions._rendezvous import ranked

ROUND_S = 1.0
SETTLE_S = 2.0
QUIET_ROUND_S = 10.0
LOST_AFTER_S = 6.0
ASK_TIMEOUT_S = 0.5
ASSIGN_TIMEOUT_S = 2.0
FORM_ATTEMPTS = 20
FORM_PAUSE_S = 0.1

log = structlog.get_logger()


@final
class PartitionSurvey:
    """Sees to it that each partition gets an owner again."""

    def __init__(
        self,
        context: PartitionContext,
        server: PeerServer,
        table: PartitionTable,
        owner_map: OwnerMap,
        repair: PairRepair,
    ) -> None:
        self._context = context
        self._table = table
        self._owner_map = owner_map
        self._repair = repair
        self._orphan_since: dict[int, tuple[int, float]] = {}
        self._busy: set[int] = set()
        self._forming: set[int] = set()
        self._next_list_s = 0.0
        server.handle(Assign, self._take_assignment)

    async def run(self) -> None:
        """Survey until cancelled."""
        listed = await self._list()
        while listed is None:
            await anyio.sleep(ROUND_S)
            listed = await self._list()
        await anyio.sleep(SETTLE_S)
        while True:
            if self._is_surveyor() and anyio.current_time() >= self._next_list_s:
                await self._survey()
            await anyio.sleep(ROUND_S)

    def _is_surveyor(self) -> bool:
        first = next(iter(ranked("survey", self._context.members.alive())), None)
        return first is not None and first.node == self._context.settings.node

    async def _list(self) -> dict[int, StoredRecord] | None:
        listed = await list_records(self._context.store)
        if isinstance(listed, Err):
            return None
        for number, stored in listed.ok_value.items():
            self._owner_map.learn_record(number, stored.record)
        return listed.ok_value

    async def _survey(self) -> None:
        records = await self._list()
        if records is None:
            return
        absent = [
            each for each in range(self._context.settings.partitions.count) if each not in records
        ]
        orphans = self._orphans(records)
        lost = [each for each in orphans if self._is_due(each)]
        pause_s = ROUND_S if absent or orphans else QUIET_ROUND_S
        self._next_list_s = anyio.current_time() + pause_s
        await self._assign(absent + lost)

    def _orphans(self, records: dict[int, StoredRecord]) -> list[int]:
        """Return the partitions with neither copy alive, and keep since when."""
        now = anyio.current_time()
        since: dict[int, tuple[int, float]] = {}
        for number, stored in records.items():
            if self._is_alive(stored.record.owner) or self._is_alive(stored.record.second):
                continue
            version, at = self._orphan_since.get(number, (0, 0.0))
            same = version == stored.version
            since[number] = (stored.version, at if same else now)
        self._orphan_since = since
        return sorted(since)

    def _is_due(self, number: int) -> bool:
        return anyio.current_time() - self._orphan_since[number][1] >= LOST_AFTER_S

    def _is_alive(self, holder: Holder | None) -> bool:
        if holder is None:
            return False
        if holder.node == self._context.settings.node:
            return holder.boot == self._context.boot
        member = self._context.members.get(holder.node)
        if member is None or member.state is MemberState.DEAD:
            return False
        return not member.boot_id or member.boot_id == holder.boot

    async def _assign(self, numbers: list[int]) -> None:
        alive = self._context.members.alive()
        by_address: dict[str, list[int]] = defaultdict(list)
        for number in numbers:
            for member in owners(number, alive)[:1]:
                by_address[member.address].append(number)
        for address, some in sorted(by_address.items()):
            if address == self._context.settings.peer_address:
                self._accept(some)
            else:
                self._table.tell(address, Assign(tuple(some)))

    async def _take_assignment(self, request: Assign, reply: Reply) -> None:
        self._accept(list(request.partitions))
        await reply.send(Done())

    def _accept(self, numbers: list[int]) -> None:
        fresh = [each for each in numbers if each not in self._busy]
        self._busy.update(fresh)
        self._table.spawn(self._work_off, fresh)

    async def _work_off(self, numbers: list[int]) -> None:
        for number in numbers:
            self._table.spawn(self._work_on, number)
            await anyio.sleep(1 / self._context.settings.store.calls_per_s)

    async def _work_on(self, number: int) -> None:
        try:
            await self._claim_or_recover(number)
        finally:
            self._busy.discard(number)

    async def _claim_or_recover(self, number: int) -> None:
        if number in self._table.owned or number in self._forming:
            return
        read = await read_record(self._context.store, number)
        if isinstance(read, Err):
            return
        found = read.ok_value
        if found is None:
            await self._claim(number)
            return
        await self._recover(number, found)

    async def _claim(self, number: int) -> None:
        record = PartitionRecord(owner=self._context.holder, epoch=FIRST_EPOCH, token=fresh_token())
        written = await swap_record(self._context.store, number, record)
        if isinstance(written, Ok):
            self._context.metrics.event("claim")
            await self._begin(number, written.ok_value, JournalCopy())

    async def _recover(self, number: int, found: StoredRecord) -> None:
        if await self._still_held(number, found.record):
            return
        stored = await self._claim_recovery(number, found)
        if stored is None:
            return
        recovered = await recover(self._context.store, number, found.record)
        if isinstance(recovered, Err):
            return
        rolled_back = recovered.ok_value.may_miss_entries
        self._context.metrics.event("rolled_back" if rolled_back else "recovery")
        log.warning("partition_recovered", partition=number, rolled_back=rolled_back)
        await self._begin(number, stored, recovered.ok_value.copy)

    async def _claim_recovery(self, number: int, found: StoredRecord) -> StoredRecord | None:
        """Name this node in the object, and wait until no former pair can acknowledge any more.

        A pair that is only cut off finds the claim in its next audit and flushes what it has. A
        journal that was closed, or never had a pair, has nothing that could go on.
        """
        if found.record.epoch == FIRST_EPOCH:
            return found
        record = renewed(found.record, owner=self._context.holder, second=None)
        written = await swap_record(self._context.store, number, record, expected=found.version)
        if isinstance(written, Err):
            return None
        if found.record.clean_sequence < 0:
            await anyio.sleep(RECOVERY_WAIT_S)
        return written.ok_value

    async def _still_held(self, number: int, record: PartitionRecord) -> bool:
        """Ask both holders themselves, since a recovery can lose entries.

        Membership may be wrong about a death; and a live holder that does not answer may hold it.
        """
        if self._owner_map.here(number) is not None:
            return True
        for holder in (record.owner, record.second):
            if holder is None or holder.node == self._context.settings.node:
                continue
            answer = await self._context.client.request(
                holder.address, AskOwner(number), timeout_s=ASK_TIMEOUT_S
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, OwnerIs):
                held = answer.ok_value.serving or answer.ok_value.holds_copy
            else:
                held = self._is_alive(holder)
            if held:
                return True
        return False

    async def _begin(self, number: int, stored: StoredRecord, copy: JournalCopy) -> None:
        partition: OwnedPartition = self._table.create(number, stored, copy)
        avoided: set[str] = set()
        for _ in range(FORM_ATTEMPTS):
            if await self._form(partition, avoided):
                return
            await anyio.sleep(FORM_PAUSE_S)
        self._forming.add(number)
        self._table.spawn(self._form_later, partition, avoided)

    async def _form_later(self, partition: OwnedPartition, avoided: set[str]) -> None:
        """Go on trying to form a pair: the store names this node, so nobody else would."""
        formed = False
        while not formed:
            await anyio.sleep(ROUND_S)
            formed = await self._form(partition, avoided)
        self._forming.discard(partition.number)

    async def _form(self, partition: OwnedPartition, avoided: set[str]) -> bool:
        """Try once to form a pair and serve; whether that has come to an end, good or not."""
        outcome = await self._repair.attempt(partition, avoided)
        if outcome in (Outcome.PAIRED, Outcome.ALONE):
            self._table.serve(partition)
            if outcome is Outcome.ALONE:
                self._table.spawn(self._repair.run, partition)
            return True
        if outcome is Outcome.LOST:
            self._table.retire(partition)
            return True
        return False
