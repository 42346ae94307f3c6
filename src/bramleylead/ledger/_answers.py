"""Collects the members' answers to an entry or to a turn lookup."""

from __future__ import annotations

from typing import Any
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import Failure
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._messages import CatchUp
from bramleylead.ledger._messages import Chain
from bramleylead.ledger._messages import FindChain
from bramleylead.ledger._messages import StaleEpoch
from bramleylead.ledger._records import KeptTurn

ANSWER_TIMEOUT_S = 1.5
UPDATE_VIEW_TIMEOUT_S = 0.5

log = structlog.get_logger()


@final
class EntryRound:
    """The answers of one view's members to one entry.

    ``decided`` is set once the outcome of the entry is known, ``member_failed`` once a member has
    failed to write it.
    """

    def __init__(self, view: LedgerView, required_acks: int) -> None:
        self.view = view
        self.required_acks = required_acks
        self.acks: list[Any] = []
        self.newer_view: LedgerView | None = None
        self.failures: list[str] = []
        self.pending = len(view.members)
        self.decided = anyio.Event()
        self.member_failed = anyio.Event()

    def record_answer(self, member: LedgerMember, answer: Result[Any, Failure]) -> None:
        self.pending -= 1
        if isinstance(answer, Err):
            self.failures.append(f"{member.node}: {answer.err_value.detail}")
        elif isinstance(answer.ok_value, StaleEpoch):
            self._record_stale_epoch(member, answer.ok_value)
        elif answer.ok_value.disk != member.disk or answer.ok_value.epoch != self.view.epoch:
            self.failures.append(f"{member.node}: answer is for another disk or epoch")
        else:
            self.acks.append(answer.ok_value)
        if self.failures:
            self.member_failed.set()
        if len(self.acks) >= self.required_acks or self.newer_view is not None or not self.pending:
            self.decided.set()

    def _record_stale_epoch(self, member: LedgerMember, stale: StaleEpoch) -> None:
        if stale.view.epoch > self.view.epoch:
            self.newer_view = stale.view
        else:
            self.failures.append(f"{member.node}: not a member at epoch {stale.view.epoch}")


@final
class ChainSearch:
    """A lookup of one turn and its predecessors at the members of one view."""

    def __init__(self, peers: PeerClient, view: LedgerView, turn: str) -> None:
        self._peers = peers
        self._view = view
        self._turn = turn
        self._found_turns: dict[str, KeptTurn] = {}
        self._pending = len(view.members)
        self.absent_count = 0
        self.newer_view: LedgerView | None = None
        self.answered = anyio.Event()

    @property
    def is_finished(self) -> bool:
        """Whether the lookup needs no further answers."""
        return not self._pending or self.newer_view is not None or self.complete_chain() is not None

    async def query_member(self, member: LedgerMember) -> None:
        """Query one member."""
        request = FindChain(self._view.epoch, self._turn)
        answer = await request_member(self._peers, self._view, member, request)
        self._pending -= 1
        if isinstance(answer, Ok):
            self._record_answer(member, answer.ok_value)
        else:
            log.info(
                "turn_lookup_failed",
                turn=self._turn,
                member=member.node,
                reason=answer.err_value.detail,
            )
        self.answered.set()
        self.answered = anyio.Event()

    def complete_chain(self) -> list[KeptTurn] | None:
        """Return the chain, oldest first, if every turn of it was found."""
        chain = []
        name = self._turn
        while name:
            turn = self._found_turns.get(name)
            if turn is None:
                return None
            chain.append(turn)
            name = turn.previous
        return chain[::-1]

    def _record_answer(self, member: LedgerMember, answer: Any) -> None:
        if isinstance(answer, StaleEpoch):
            if answer.view.epoch > self._view.epoch:
                self.newer_view = answer.view
            return
        if not isinstance(answer, Chain) or answer.disk != member.disk:
            return
        self._found_turns |= {turn.turn: turn for turn in answer.turns}
        if not answer.turns:
            self.absent_count += 1


async def wait_for_any(*events: anyio.Event) -> None:
    """Wait until one of several events is set."""
    async with anyio.create_task_group() as tasks:

        async def wait(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait, event)


async def request_member(
    peers: PeerClient, view: LedgerView, member: LedgerMember, request: Any
) -> Result[Any, Failure]:
    """Send a request to a member; one with an earlier view gets this view first, then a retry."""
    address = member.address
    answer = await peers.request(address, request, timeout_s=ANSWER_TIMEOUT_S, idempotent=True)
    if isinstance(answer, Err) or not isinstance(answer.ok_value, StaleEpoch):
        return answer
    if answer.ok_value.view.epoch >= view.epoch:
        return answer
    await peers.request(
        address, CatchUp(view, ()), timeout_s=UPDATE_VIEW_TIMEOUT_S, idempotent=True
    )
    return await peers.request(address, request, timeout_s=ANSWER_TIMEOUT_S, idempotent=True)
