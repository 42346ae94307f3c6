"""A ledger node: serves the gateways' requests and copies records from other nodes."""

from __future__ import annotations

import secrets
from itertools import islice
from typing import Any
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import Done
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._copying import RecordCopier
from bramleylead.ledger._disk import Disk
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._members import view_to_plain
from bramleylead.ledger._messages import AskKeys
from bramleylead.ledger._messages import AskRecords
from bramleylead.ledger._messages import AskState
from bramleylead.ledger._messages import CatchUp
from bramleylead.ledger._messages import Chain
from bramleylead.ledger._messages import FindChain
from bramleylead.ledger._messages import Keep
from bramleylead.ledger._messages import Keys
from bramleylead.ledger._messages import NodeState
from bramleylead.ledger._messages import OnDisk
from bramleylead.ledger._messages import Records
from bramleylead.ledger._messages import Reserve
from bramleylead.ledger._messages import Reserved
from bramleylead.ledger._messages import Settle
from bramleylead.ledger._messages import StaleEpoch
from bramleylead.ledger._pages import OVERHEAD_BYTES
from bramleylead.ledger._pages import first_page
from bramleylead.ledger._pages import record_bytes
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import LedgerState
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import Spending
from bramleylead.ledger._writer import RecordWriter
from bramleylead.placement._crash_table import CrashTable
from bramleylead.placement._fleet_table import FleetTable

MAX_KEYS_PER_PAGE = 2_000
PEER_TIMEOUT_S = 0.6
RUN_ID_BYTES = 6

log = structlog.get_logger()


@final
class LedgerNode:
    """The records of one node, and its view of the members.

    :param address: where gateways and other nodes reach it.
    """

    def __init__(
        self, *, node: str, address: str, disk: Disk, peers: PeerClient, data_centre: str = ""
    ) -> None:
        self._node = node
        self._address = address
        self._data_centre = data_centre
        self._disk = disk
        self._peers = peers
        self._run_id = secrets.token_hex(RUN_ID_BYTES)
        self._state = LedgerState()
        self._writer = RecordWriter(disk, self._state)
        self._copier = RecordCopier(node, self._state, self._writer, peers)
        self._view = NO_VIEW
        self._adopting = anyio.Lock()
        self._seen: dict[str, tuple[str, int]] = {}
        self._settled: set[str] = set()
        self.fleet = FleetTable()
        self.crashes = CrashTable()
        self.leaving = False
        self.vacancies = 0
        self.view_changed = anyio.Event()

    @property
    def own_entry(self) -> LedgerMember:
        """The entry of this node in a member list."""
        return LedgerMember(self._node, self._address, self._disk.name, self._data_centre)

    @property
    def view(self) -> LedgerView:
        """The latest view that this node has adopted."""
        return self._view

    @property
    def state(self) -> LedgerState:
        """The records that this node holds."""
        return self._state

    @property
    def is_member(self) -> bool:
        """Whether this node is a member, with this address and disk."""
        return self.own_entry in self._view.members

    @property
    def settled(self) -> frozenset[str]:
        """The members from which this node has copied since both adopted its view.

        It holds all entries that they acknowledged in earlier epochs.
        """
        return frozenset(self._settled)

    def gauges(self) -> dict[str, float]:
        """Return the values of this node's metrics."""
        return {
            "ledger_epoch": self._view.epoch,
            "ledger_member": self.is_member,
            "records": len(self._state),
            "disk_batches": self._writer.batches,
            "copy_failing_s": self._copier.failing_s,
        }

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {
            "me": self.own_entry._asdict(),
            "state": self.gauges(),
            "ledger": view_to_plain(self._view),
            "copied": self._copier.dump(),
        }

    async def load(self) -> None:
        """Load the view and the records from the disk.

        :raises OSError: if it can't be read.
        """
        self._view, records = await self._disk.load()
        now = anyio.current_time()
        for record in records:
            self._state.add(record, now=now)
        log.info(
            "ledger_loaded",
            node=self._node,
            disk=self._disk.name,
            records=len(records),
            epoch=self._view.epoch,
        )

    async def run_writer(self) -> None:
        """Write records until cancelled."""
        await self._writer.run()

    async def expire(self) -> None:
        """Drop the records past their retention, and the files that only contain such records."""
        dropped = self._state.expire(anyio.current_time())
        if dropped:
            log.info("records_expired", node=self._node, dropped=dropped, held=len(self._state))
        try:
            await self._disk.delete_expired(lambda key: self._state.get(key) is not None)
        except OSError as error:
            log.error("segment_not_dropped", node=self._node, reason=str(error))

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handlers of the ledger's messages."""
        server.handle(Reserve, self._reserve)
        server.handle(Settle, self._settle)
        server.handle(Keep, self._keep)
        server.handle(FindChain, self._find_chain)
        server.answer(AskState, self._state_for)
        server.handle(AskKeys, self._ask_keys)
        server.handle(AskRecords, self._ask_records)
        server.handle(CatchUp, self._catch_up)

    async def adopt(self, view: LedgerView) -> None:
        """Adopt a later view; entries for an earlier epoch are refused from then on.

        A view that can't be written to disk is not adopted, since a restart would lose it.
        """
        if view.epoch <= self._view.epoch:
            return
        # One at a time, else the disk could keep the older of two views, or a mix of them.
        async with self._adopting:
            if view.epoch > self._view.epoch:
                await self._write_and_adopt(view)

    async def _write_and_adopt(self, view: LedgerView) -> None:
        before = self._view
        try:
            await self._disk.write_view(view)
        except OSError as error:
            log.error("disk_write_failed", node=self._node, epoch=view.epoch, reason=str(error))
            return
        self._view = view
        self._settled = set()
        self._copier.keep_only({member.node for member in view.members})
        self.view_changed.set()
        self.view_changed = anyio.Event()
        log.info(
            "ledger_members_changed",
            node=self._node,
            epoch=view.epoch,
            members=[member.node for member in view.members],
            former_epoch=before.epoch,
            member=self.is_member,
        )

    async def fetch_state(self, member: LedgerMember) -> NodeState | None:
        """Request another node's state, and adopt its view if that is later."""
        answer = await self._peers.request(
            member.address, AskState(), timeout_s=PEER_TIMEOUT_S, idempotent=True
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, NodeState):
            return None
        state = answer.ok_value
        self._seen[member.node] = (state.disk, state.view.epoch)
        await self.adopt(state.view)
        return state

    async def copy_from(self, member: LedgerMember) -> Result[None, Failure]:
        """Copy all records that another node has and this one lacks."""
        epoch = self._view.epoch
        if not self._is_seen_at(member, epoch):
            await self.fetch_state(member)
        has_adopted = self._is_seen_at(member, epoch)
        copied = await self._copier.copy_from(member)
        if isinstance(copied, Ok) and has_adopted and self._view.epoch == epoch:
            self._settled.add(member.node)
        return copied

    def _is_seen_at(self, member: LedgerMember, epoch: int) -> bool:
        disk, seen_epoch = self._seen.get(member.node, ("", 0))
        return disk == member.disk and seen_epoch >= epoch

    async def _refuse_stale(self, epoch: int, reply: Reply) -> bool:
        """Refuse a request for another epoch, or any request if this node is not a member."""
        if epoch == self._view.epoch and self.is_member:
            return False
        await reply.send(StaleEpoch(self._view))
        return True

    async def _reserve(self, request: Reserve, reply: Reply) -> None:
        self.fleet.record(request.report, now=anyio.current_time())
        self.crashes.merge_all(request.crashes, now=anyio.current_time())
        if not await self._write_record(request.epoch, request.spending, reply):
            return
        now = anyio.current_time()
        answer = Reserved(
            self._node,
            self._disk.name,
            self._view.epoch,
            spendings=tuple(self._state.spendings(request.spending.program)),
            fleet=self.fleet.load_for(request.report.gateway, request.prompt_parts, now=now),
            crashes=tuple(
                self.crashes.evidence(asked.fingerprint, now=now) for asked in request.crashes
            ),
        )
        await reply.send(answer)

    async def _settle(self, request: Settle, reply: Reply) -> None:
        self.fleet.record(request.report, now=anyio.current_time())
        if await self._write_record(request.epoch, request.spending, reply):
            await reply.send(OnDisk(self._node, self._disk.name, self._view.epoch))

    async def _keep(self, request: Keep, reply: Reply) -> None:
        self.fleet.record(request.report, now=anyio.current_time())
        if await self._write_record(request.epoch, request.turn, reply):
            await reply.send(OnDisk(self._node, self._disk.name, self._view.epoch))

    async def _write_record(self, epoch: int, record: Record, reply: Reply) -> bool:
        """Write a gateway's record; the epoch is checked again once the record is on disk."""
        if await self._refuse_stale(epoch, reply):
            return False
        try:
            await self._writer.write([record])
        except OSError as error:
            detail = f"{self._node}: disk write failed: {error}"
            await reply.fail(Failure(ErrorKind.NOT_DURABLE, detail))
            return False
        return not await self._refuse_stale(epoch, reply)

    async def _find_chain(self, request: FindChain, reply: Reply) -> None:
        if await self._refuse_stale(request.epoch, reply):
            return
        page = first_page(self._state.chain(request.turn), record_bytes)
        await reply.send(Chain(self._node, self._disk.name, self._view.epoch, tuple(page)))

    def _state_for(self, request: AskState) -> NodeState:
        others = {member.node for member in self._view.members} - {self._node}
        return NodeState(
            self._node,
            self._disk.name,
            self._run_id,
            self._view,
            self.leaving,
            self.vacancies,
            settled=self.is_member and others <= self._settled,
        )

    async def _ask_keys(self, request: AskKeys, reply: Reply) -> None:
        after = request.after if request.run_id == self._run_id else 0
        numbered = islice(self._state.keys_after(after), MAX_KEYS_PER_PAGE)
        page = first_page(numbered, lambda item: OVERHEAD_BYTES + len(item.key))
        # Numbers after the last key are those of records that were dropped.
        more = len(page) > 0 and page[-1].number < self._state.last_number
        last = page[-1].number if page else self._state.last_number
        await reply.send(Keys(self._run_id, last, tuple(item.key for item in page), more))

    async def _ask_records(self, request: AskRecords, reply: Reply) -> None:
        held = (record for key in request.keys if (record := self._state.get(key)) is not None)
        page = first_page(held, record_bytes)
        turns = tuple(record for record in page if isinstance(record, KeptTurn))
        spendings = tuple(record for record in page if isinstance(record, Spending))
        await reply.send(Records(turns, spendings))

    async def _catch_up(self, request: CatchUp, reply: Reply) -> None:
        await self.adopt(request.view)
        for name in request.sources:
            member = request.view.member(name)
            if member is None or name == self._node:
                continue
            copied = await self.copy_from(member)
            if isinstance(copied, Err):
                await reply.fail(copied.err_value)
                return
        await reply.send(Done())
