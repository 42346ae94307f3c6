"""Draws permits from the quota owners of customers, members of the ledger."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple
from typing import Protocol
from typing import final

import anyio
import structlog
from result import Err
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._messages import DrawPermits
from bramleylead.ledger._messages import Permits
from bramleylead.placement._quotas import owner_rank

DRAW_TIMEOUT_S = 0.25
AVOID_FAILED_OWNER_S = 1.0
OWNERS_TRIED = 2
"""If the owner fails, the next member in the order grants permits until the first one returns or
is removed. Both know the reported requests of all gateways."""

log = structlog.get_logger()


class Members(Protocol):
    """The members of the ledger, as this gateway knows them."""

    @property
    def view(self) -> LedgerView:
        """The latest known view."""
        ...


class Drawn(NamedTuple):
    """The response to a draw, and the member that gave it."""

    member: str
    permits: Permits


@final
class PermitDraws:
    """Draws permits for one gateway.

    :param ledger: the members of the ledger, one of which is a customer's quota owner.
    """

    def __init__(self, peers: PeerClient, ledger: Members) -> None:
        self._peers = peers
        self._ledger = ledger
        self._able: set[str] = set()
        self._failed_at: dict[str, float] = {}
        self.failed_at = float("-inf")
        self.draws = 0
        self.failed = 0
        self.granted = 0

    @property
    def ledger_epoch(self) -> int:
        """The epoch of the members that owners are chosen from."""
        return self._ledger.view.epoch

    def record_able(self, members: Iterable[str]) -> None:
        """Record members that run a build that grants permits."""
        self._able.update(members)

    async def draw(self, request: DrawPermits) -> Drawn | None:
        """Draw permits from the owner, or the next in order; ``None`` if neither answers."""
        for member in self._owners_of(request.customer):
            self.draws += 1
            answer = await self._peers.request(
                member.address, request, timeout_s=DRAW_TIMEOUT_S, idempotent=False
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, Permits):
                self._failed_at.pop(member.node, None)
                self.granted += answer.ok_value.granted
                return Drawn(member.node, answer.ok_value)
            self.failed += 1
            self._failed_at[member.node] = self.failed_at = anyio.current_time()
            log.info(
                "quota_owner_failed",
                customer=request.customer,
                member=member.node,
                ledger_epoch=self.ledger_epoch,
                reason=answer.err_value.detail if isinstance(answer, Err) else "unexpected answer",
            )
        return None

    def _owners_of(self, customer: str) -> list[LedgerMember]:
        """Return the members that may grant a customer's permits now, the owner first."""
        now = anyio.current_time()
        ranking = sorted(
            (member for member in self._ledger.view.members if member.node in self._able),
            key=lambda member: owner_rank(customer, member.node),
            reverse=True,
        )
        return [
            member
            for member in ranking[:OWNERS_TRIED]
            if now - self._failed_at.get(member.node, float("-inf")) > AVOID_FAILED_OWNER_S
        ]
