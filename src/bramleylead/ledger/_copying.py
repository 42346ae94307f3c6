"""Copies the records that other nodes of the ledger have and this one lacks.

A node that has lost its disk answers at its former address, with no records. Its answers count only
once its state shows that the run that sent them has the disk of its entry in the member list.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._messages import AskKeys
from bramleylead.ledger._messages import AskRecords
from bramleylead.ledger._messages import AskState
from bramleylead.ledger._messages import NodeState
from bramleylead.ledger._messages import Records
from bramleylead.ledger._records import LedgerState
from bramleylead.ledger._records import Record
from bramleylead.ledger._writer import RecordWriter

COPY_TIMEOUT_S = 3.0
STALLED_AFTER_S = 10.0
STALL_LOG_INTERVAL_S = 60.0

log = structlog.get_logger()


class _Cursor(NamedTuple):
    """How far another node's records have been copied, in which run and from which disk."""

    run: str
    last: int
    disk: str = ""


@final
class RecordCopier:
    """Copies records to one node.

    :param node: the name of this node.
    """

    def __init__(
        self, node: str, state: LedgerState, writer: RecordWriter, peers: PeerClient
    ) -> None:
        self._node = node
        self._state = state
        self._writer = writer
        self._peers = peers
        self._cursors: dict[str, _Cursor] = {}
        self._failing_since: dict[str, float] = {}
        self._stall_logged_at = float("-inf")

    @property
    def failing_s(self) -> float:
        """The longest time in seconds for which copies from one node have failed."""
        now = anyio.current_time()
        return round(max((now - since for since in self._failing_since.values()), default=0.0), 3)

    def dump(self) -> dict[str, Any]:
        """Return how far each node's records have been copied."""
        return {name: cursor._asdict() for name, cursor in self._cursors.items()}

    def keep_only(self, names: set[str]) -> None:
        """Forget the failures of all nodes but the named ones."""
        for name in self._failing_since.keys() - names:
            del self._failing_since[name]

    async def copy_from(self, member: LedgerMember) -> Result[None, Failure]:
        """Copy all records that a node has and this one lacks."""
        copied = await self._copy_pages(member)
        if isinstance(copied, Ok):
            self._failing_since.pop(member.node, None)
        else:
            self._record_failure(member, copied.err_value)
        return copied

    async def _copy_pages(self, member: LedgerMember) -> Result[None, Failure]:
        cursor = self._cursors.get(member.node, _Cursor("", 0))
        more = True
        while more:
            answer = await self._request(member, AskKeys(cursor.run, cursor.last))
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            copied = await self._copy_keys(member, page.keys)
            if isinstance(copied, Err):
                return copied
            is_known = (cursor.run, cursor.disk) == (page.run_id, member.disk)
            if not is_known or not copied.ok_value:
                checked = await self._check_disk(member, page.run_id)
                if isinstance(checked, Err):
                    return checked
            cursor = _Cursor(page.run_id, page.last, member.disk)
            self._cursors[member.node] = cursor
            more = page.more
        return Ok(None)

    async def _check_disk(self, member: LedgerMember, run_id: str) -> Result[None, Failure]:
        """Check that a node still has the disk of its entry, and has not restarted meanwhile."""
        answer = await self._request(member, AskState())
        if isinstance(answer, Err):
            return answer
        state = answer.ok_value
        if not isinstance(state, NodeState) or state.run_id != run_id:
            detail = f"{member.node} restarted while its records were copied"
            return Err(Failure(ErrorKind.NOT_DURABLE, detail))
        if state.disk != member.disk:
            detail = f"{member.node} has the disk {state.disk} instead of {member.disk}"
            return Err(Failure(ErrorKind.NOT_DURABLE, detail))
        return Ok(None)

    async def _copy_keys(
        self, member: LedgerMember, keys: tuple[str, ...]
    ) -> Result[bool, Failure]:
        """Copy the records that this node lacks; return whether the other node had all of them."""
        had_all = True
        missing = self._missing(keys)
        while missing:
            answer = await self._ask_records(member, missing)
            if isinstance(answer, Err):
                return answer
            asked, found = answer.ok_value
            records: list[Record] = [*found.turns, *found.spendings]
            try:
                await self._writer.write(records)
            except OSError as error:
                detail = f"{self._node}: disk write failed: {error}"
                return Err(Failure(ErrorKind.NOT_DURABLE, detail))
            had_all = had_all and bool(records)
            # Without a record the other node has dropped all of them as expired.
            missing = self._missing(missing) if records else missing[asked:]
        return Ok(had_all)

    def _missing(self, keys: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(key for key in keys if self._state.get(key) is None)

    async def _ask_records(
        self, member: LedgerMember, keys: tuple[str, ...]
    ) -> Result[tuple[int, Records], Failure]:
        """Ask for the first of some records; return for how many, and those found.

        A node of an earlier version fails if its answer is too large, and is asked for fewer.
        """
        asked = len(keys)
        while True:
            answer = await self._request(member, AskRecords(keys[:asked]))
            if isinstance(answer, Ok):
                return Ok((asked, answer.ok_value))
            if answer.err_value.kind is not ErrorKind.INTERNAL or asked == 1:
                return answer
            asked //= 2

    async def _request(self, member: LedgerMember, request: Any) -> Result[Any, Failure]:
        return await self._peers.request(
            member.address, request, timeout_s=COPY_TIMEOUT_S, idempotent=True
        )

    def _record_failure(self, member: LedgerMember, failure: Failure) -> None:
        """Log once a minute that copies from a node have failed for long."""
        now = anyio.current_time()
        failing_s = now - self._failing_since.setdefault(member.node, now)
        if failing_s < STALLED_AFTER_S or now - self._stall_logged_at < STALL_LOG_INTERVAL_S:
            return
        self._stall_logged_at = now
        log.warning(
            "copy_stalled",
            node=self._node,
            peer=member.node,
            failing_s=round(failing_s, 3),
            kind=failure.kind,
            reason=failure.detail,
        )
