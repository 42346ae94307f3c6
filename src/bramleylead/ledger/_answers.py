"""What the members answer to one entry or one look-up."""

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
TELL_TIMEOUT_S = 0.5

log = structlog.get_logger()


@final
class EntryRound:
    """The answers of one view's members to one entry.

    ``decided`` is set once it is certain what becomes of the entry, ``faltered`` once a member has
    failed to take it.
    """

    def __init__(self, view: LedgerView, need: int) -> None:
        self.view = view
        self.need = need
        self.acks: list[Any] = []
        self.newer: LedgerView | None = None
        self.failures: list[str] = []
        self.open = len(view.members)
        self.decided = anyio.Event()
        self.faltered = anyio.Event()

    def take(self, member: LedgerMember, answer: Result[Any, Failure]) -> None:
        self.open -= 1
        if isinstance(answer, Err):
            self.failures.append(f"{member.node}: {answer.err_value.detail}")
        elif isinstance(answer.ok_value, StaleEpoch):
            self._take_stale(member, answer.ok_value)
        elif answer.ok_value.disk != member.disk or answer.ok_value.epoch != self.view.epoch:
            self.failures.append(f"{member.node}: answered for another disk or epoch")
        else:
            self.acks.append(answer.ok_value)
        if self.failures:
            self.faltered.set()
        if len(self.acks) >= self.need or self.newer is not None or not self.open:
            self.decided.set()

    def _take_stale(self, member: LedgerMember, stale: StaleEpoch) -> None:
        if stale.view.epoch > self.view.epoch:
            self.newer = stale.view
        else:
            self.failures.append(f"{member.node}: is no member at epoch {stale.view.epoch}")


@final
class ChainSearch:
    """The answers of one view's members on one turn."""

    def __init__(self, peers: PeerClient, view: LedgerView, turn: str) -> None:
        self._peers = peers
        self._view = view
        self._turn = turn
        self._held: dict[str, KeptTurn] = {}
        self._open = len(view.members)
        self.absent = 0
        self.newer: LedgerView | None = None
        self.answered = anyio.Event()

    @property
    def is_over(self) -> bool:
        """Whether no further answer is needed, or none is to come."""
        return not self._open or self.newer is not None or self.whole() is not None

    async def ask(self, member: LedgerMember) -> None:
        """Ask one member."""
        request = FindChain(self._view.epoch, self._turn)
        answer = await ask_member(self._peers, self._view, member, request)
        self._open -= 1
        if isinstance(answer, Ok):
            self._take(member, answer.ok_value)
        else:
            log.info(
                "turn_lookup_failed",
                turn=self._turn,
                member=member.node,
                reason=answer.err_value.detail,
            )
        self.answered.set()
        self.answered = anyio.Event()

    def whole(self) -> list[KeptTurn] | None:
        """Return the chain, oldest first, if every turn of it is there."""
        chain = []
        name = self._turn
        while name:
            turn = self._held.get(name)
            if turn is None:
                return None
            chain.append(turn)
            name = turn.previous
        return chain[::-1]

    def _take(self, member: LedgerMember, answer: Any) -> None:
        if isinstance(answer, StaleEpoch):
            if answer.view.epoch > self._view.epoch:
                self.newer = answer.view
            return
        if not isinstance(answer, Chain) or answer.disk != member.disk:
            return
        self._held |= {turn.turn: turn for turn in answer.turns}
        if not answer.turns:
            self.absent += 1


async def ask_member(
    peers: PeerClient, view: LedgerView, member: LedgerMember, request: Any
) -> Result[Any, Failure]:
    """Ask a member something under a view; one that knows only an earlier view is told it."""
    address = member.address
    answer = await peers.request(address, request, timeout_s=ANSWER_TIMEOUT_S, idempotent=True)
    if isinstance(answer, Err) or not isinstance(answer.ok_value, StaleEpoch):
        return answer
    if answer.ok_value.view.epoch >= view.epoch:
        return answer
    await peers.request(address, CatchUp(view, ()), timeout_s=TELL_TIMEOUT_S, idempotent=True)
    return await peers.request(address, request, timeout_s=ANSWER_TIMEOUT_S, idempotent=True)
