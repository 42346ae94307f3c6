"""Collects the members' answers to an entry or to a turn lookup."""

from __future__ import annotations

from typing import Any
from typing import final

import anyio
import structlog
from result import Err
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
LOOKUP_TIMEOUT_S = 0.7
"""A lookup ends when no page has arrived for this time."""
UPDATE_VIEW_TIMEOUT_S = 0.5

log = structlog.get_logger()


@final
class EntryRound:
    """The answers of one view's members to one entry.

    ``decided`` is set once the outcome of the entry is known, ``decided_or_failed`` also once a
    member has failed to write it.
    """

    def __init__(self, view: LedgerView, required_acks: int) -> None:
        self.view = view
        self.required_acks = required_acks
        self.acks: list[Any] = []
        self.newer_view: LedgerView | None = None
        self.failures: list[str] = []
        self.pending = len(view.members)
        self.decided = anyio.Event()
        self.decided_or_failed = anyio.Event()

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
            self.decided_or_failed.set()
        if len(self.acks) >= self.required_acks or self.newer_view is not None or not self.pending:
            self.decided.set()
            self.decided_or_failed.set()

    def _record_stale_epoch(self, member: LedgerMember, stale: StaleEpoch) -> None:
        if stale.view.epoch > self.view.epoch:
            self.newer_view = stale.view
        else:
            self.failures.append(f"{member.node}: not a member at epoch {stale.view.epoch}")


@final
class ChainSearch:
    """A lookup of one turn and its predecessors at the members of one view."""

    def __init__(
        self, peers: PeerClient, view: LedgerView, turn: str, found: dict[str, KeptTurn]
    ) -> None:
        self._peers = peers
        self._view = view
        self._turn = turn
        self._found_turns = found
        self._unanswered = len(view.members)
        self._querying = 0
        self._progressed = anyio.Event()
        self.absent_count = 0
        self.newer_view: LedgerView | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the lookup needs no further answers."""
        return not self._unanswered or self.newer_view is not None or self._first_missing() is None

    async def wait_while_answering(self, scope: anyio.CancelScope, delay_s: float) -> None:
        """Wait until another member should be queried, or the lookup is finished.

        :param scope: its deadline is put off with each page.
        :param delay_s: returns once no page has arrived for this time.
        """
        while True:
            with anyio.move_on_after(delay_s) as waiting:
                await self._progressed.wait()
            if waiting.cancelled_caught or self.is_finished or not self._querying:
                return
            scope.deadline = anyio.current_time() + LOOKUP_TIMEOUT_S

    async def query_member(self, member: LedgerMember) -> None:
        """Ask a member for one page after the other, as long as it has missing turns."""
        self._querying += 1
        missing = self._first_missing()
        while missing is not None:
            request = FindChain(self._view.epoch, missing)
            answer = await request_member(self._peers, self._view, member, request)
            if not self._record_answer(member, missing, answer):
                break
            missing = self._first_missing()
            self._notify_progress()
        self._querying -= 1
        self._unanswered -= 1
        self._notify_progress()

    def _notify_progress(self) -> None:
        self._progressed.set()
        self._progressed = anyio.Event()

    def _first_missing(self) -> str | None:
        """Return the newest turn of the chain that was not found; ``None`` if all were."""
        name = self._turn
        while name:
            turn = self._found_turns.get(name)
            if turn is None:
                return name
            name = turn.previous
        return None

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

    def _record_answer(
        self, member: LedgerMember, asked: str, answer: Result[Any, Failure]
    ) -> bool:
        """Record a member's answer; return whether it had the turn that was asked for."""
        if isinstance(answer, Err):
            self._log_failure(member, asked, answer.err_value)
            return False
        chain = answer.ok_value
        if isinstance(chain, StaleEpoch):
            if chain.view.epoch > self._view.epoch:
                self.newer_view = chain.view
            return False
        if not isinstance(chain, Chain) or chain.disk != member.disk:
            return False
        self._found_turns |= {turn.turn: turn for turn in chain.turns}
        if not chain.turns and asked == self._turn:
            self.absent_count += 1
        return asked in self._found_turns

    def _log_failure(self, member: LedgerMember, asked: str, failure: Failure) -> None:
        log.info(
            "turn_lookup_failed",
            turn=self._turn,
            asked=asked,
            member=member.node,
            kind=failure.kind,
            reason=failure.detail,
        )


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
