"""Finds partitions that have no owner or lost both copies, and has them claimed or recovered.

Every node lists the partition objects once, at startup. After that, one node chosen by rendezvous
hashing lists them for the fleet and asks other nodes to claim or recover partitions. Two nodes may
scan at the same time without harm, since every change is a compare-and-set in the store.
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
from bramleylead.fleet._members import MemberState
from bramleylead.fleet._rendezvous import rank_members
from bramleylead.fleet._rendezvous import rank_owners
from bramleylead.process.journal._journal_copy import JournalCopy
from bramleylead.process.partitions._owner_map import OwnerMap
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_audit import RECOVERY_DELAY_S
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
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_record import with_next_epoch
from bramleylead.process.partitions._partition_repair import PairRepair
from bramleylead.process.partitions._partition_repair import RepairOutcome
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._recovery import FIRST_EPOCH
from bramleylead.process.partitions._recovery import recover

SCAN_INTERVAL_S = 1.0
STARTUP_DELAY_S = 2.0
IDLE_SCAN_INTERVAL_S = 10.0
RECOVER_AFTER_S = 6.0
ASK_TIMEOUT_S = 0.5
ASSIGN_TIMEOUT_S = 2.0
FORM_ATTEMPTS = 20
FORM_RETRY_S = 0.1

log = structlog.get_logger()


@final
class PartitionScanner:
    """Scans for partitions without a live owner or second copy."""

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
        self._orphaned_since: dict[int, tuple[int, float]] = {}
        self._in_progress: set[int] = set()
        self._waiting_for_pair: set[int] = set()
        self._next_list_s = 0.0
        server.handle(Assign, self._handle_assign)

    async def run(self) -> None:
        """Scan until cancelled."""
        listed = await self._list_and_cache()
        while listed is None:
            await anyio.sleep(SCAN_INTERVAL_S)
            listed = await self._list_and_cache()
        await anyio.sleep(STARTUP_DELAY_S)
        while True:
            if self._is_scanner() and anyio.current_time() >= self._next_list_s:
                await self._scan()
            await anyio.sleep(SCAN_INTERVAL_S)

    def _is_scanner(self) -> bool:
        first = next(iter(rank_members("survey", self._context.members.alive())), None)
        return first is not None and first.node == self._context.settings.node

    async def _list_and_cache(self) -> dict[int, StoredRecord] | None:
        listed = await list_records(self._context.store)
        if isinstance(listed, Err):
            return None
        for number, stored in listed.ok_value.items():
            self._owner_map.update_from_record(number, stored.record)
        return listed.ok_value

    async def _scan(self) -> None:
        records = await self._list_and_cache()
        if records is None:
            return
        absent = [
            each for each in range(self._context.settings.partitions.count) if each not in records
        ]
        orphans = self._orphans(records)
        recoverable = [each for each in orphans if self._is_due(each)]
        interval_s = SCAN_INTERVAL_S if absent or orphans else IDLE_SCAN_INTERVAL_S
        self._next_list_s = anyio.current_time() + interval_s
        await self._assign(absent + recoverable)

    def _orphans(self, records: dict[int, StoredRecord]) -> list[int]:
        """Return the partitions with neither copy alive, and record when each became orphaned."""
        now = anyio.current_time()
        since: dict[int, tuple[int, float]] = {}
        for number, stored in records.items():
            if self._is_alive(stored.record.owner) or self._is_alive(stored.record.second):
                continue
            version, at = self._orphaned_since.get(number, (0, 0.0))
            same = version == stored.version
            since[number] = (stored.version, at if same else now)
        self._orphaned_since = since
        return sorted(since)

    def _is_due(self, number: int) -> bool:
        return anyio.current_time() - self._orphaned_since[number][1] >= RECOVER_AFTER_S

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
            for member in rank_owners(number, alive)[:1]:
                by_address[member.address].append(number)
        for address, assigned in sorted(by_address.items()):
            if address == self._context.settings.peer_address:
                self._start_assigned(assigned)
            else:
                self._table.notify(address, Assign(tuple(assigned)))

    async def _handle_assign(self, request: Assign, reply: Reply) -> None:
        self._start_assigned(list(request.partitions))
        await reply.send(Done())

    def _start_assigned(self, numbers: list[int]) -> None:
        new_numbers = [each for each in numbers if each not in self._in_progress]
        self._in_progress.update(new_numbers)
        self._table.spawn(self._process_all, new_numbers)

    async def _process_all(self, numbers: list[int]) -> None:
        for number in numbers:
            self._table.spawn(self._process, number)
            await anyio.sleep(1 / self._context.settings.store.calls_per_s)

    async def _process(self, number: int) -> None:
        try:
            await self._claim_or_recover(number)
        finally:
            self._in_progress.discard(number)

    async def _claim_or_recover(self, number: int) -> None:
        if number in self._table.owned or number in self._waiting_for_pair:
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
            await self._pair_and_serve(number, written.ok_value, JournalCopy())

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
        await self._pair_and_serve(number, stored, recovered.ok_value.copy)

    async def _claim_recovery(self, number: int, found: StoredRecord) -> StoredRecord | None:
        """Write this node's claim to the object, and wait until no former pair can acknowledge.

        A former pair that is cut off from the fleet but reaches the store finds the claim in its
        next audit and flushes its journal. Without a former pair, or if the journal was closed,
        there is nothing to wait for.
        """
        if found.record.epoch == FIRST_EPOCH:
            return found
        record = with_next_epoch(found.record, owner=self._context.holder, second=None)
        written = await swap_record(self._context.store, number, record, expected=found.version)
        if isinstance(written, Err):
            return None
        if found.record.clean_sequence < 0:
            await anyio.sleep(RECOVERY_DELAY_S)
        return written.ok_value

    async def _still_held(self, number: int, record: PartitionRecord) -> bool:
        """Ask both holders whether they still have the partition, since recovery can lose entries.

        Membership may wrongly list a node as dead. A holder that does not answer counts as having
        the partition if membership lists it as alive.
        """
        if self._owner_map.local_owner(number) is not None:
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

    async def _pair_and_serve(self, number: int, stored: StoredRecord, copy: JournalCopy) -> None:
        partition: OwnedPartition = self._table.create(number, stored, copy)
        excluded_nodes: set[str] = set()
        for _ in range(FORM_ATTEMPTS):
            if await self._try_pair_and_serve(partition, excluded_nodes):
                return
            await anyio.sleep(FORM_RETRY_S)
        self._waiting_for_pair.add(number)
        self._table.spawn(self._keep_trying_to_pair, partition, excluded_nodes)

    async def _keep_trying_to_pair(
        self, partition: OwnedPartition, excluded_nodes: set[str]
    ) -> None:
        """Retry until a pair is formed: the store names this node, so no other node would."""
        formed = False
        while not formed:
            await anyio.sleep(SCAN_INTERVAL_S)
            formed = await self._try_pair_and_serve(partition, excluded_nodes)
        self._waiting_for_pair.discard(partition.number)

    async def _try_pair_and_serve(
        self, partition: OwnedPartition, excluded_nodes: set[str]
    ) -> bool:
        """Try once to form a pair and serve; return whether no further attempt is needed."""
        outcome = await self._repair.attempt_pair(partition, excluded_nodes)
        if outcome in (RepairOutcome.PAIRED, RepairOutcome.ALONE):
            self._table.serve(partition)
            if outcome is RepairOutcome.ALONE:
                self._table.spawn(self._repair.run, partition)
            return True
        if outcome is RepairOutcome.LOST:
            self._table.retire(partition)
            return True
        return False
