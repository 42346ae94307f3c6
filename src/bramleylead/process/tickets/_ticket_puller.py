"""Pulls tickets from a peer when the proof is getting old or a peer has a later ticket."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import final

import anyio
from result import Err

from bramleylead.connection import PeerClient
from bramleylead.fleet._members import Member
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.process.membership._membership import Membership
from bramleylead.process.tickets._applied_tickets import AppliedTickets
from bramleylead.process.tickets._currency import Currency
from bramleylead.process.tickets._peer_numbers import PeerTicketNumbers
from bramleylead.process.tickets._ticket_messages import TicketsAsked
from bramleylead.process.tickets._ticket_messages import TicketsGiven
from bramleylead.process.tickets._watchers import Watchers

PULL_CHECK_INTERVAL_S = 0.25
PULL_TIMEOUT_S = 0.5
STALE_FRACTION = 0.5


@final
class TicketPuller:
    """Asks one peer at a time for the tickets after those in force.

    :param on_answer: called with the number after which tickets were asked for, the answer, and
        the time at which it was asked for.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        peers: PeerClient,
        membership: Membership,
        watchers: Watchers,
        applied: AppliedTickets,
        currency: Currency,
        peer_numbers: PeerTicketNumbers,
        metrics: Metrics,
        rng: random.Random,
        on_answer: Callable[[int, TicketsGiven, float], None],
    ) -> None:
        self._current_within_s = settings.tickets.current_within_s
        self._data_centre = settings.data_centre
        self._peers = peers
        self._membership = membership
        self._watchers = watchers
        self._applied = applied
        self._currency = currency
        self._peer_numbers = peer_numbers
        self._metrics = metrics
        self._rng = rng
        self._on_answer = on_answer
        self._requested = anyio.Event()

    def request(self) -> None:
        """Check at once whether to pull."""
        self._requested.set()

    async def run(self) -> None:
        """Pull from a peer whenever the proof is getting old or a peer has a later ticket."""
        while True:
            with anyio.move_on_after(PULL_CHECK_INTERVAL_S):
                await self._requested.wait()
            self._requested = anyio.Event()
            self._metrics.ticket_age_seconds.set({}, min(self._currency.age_s, 1e9))
            if self._needs_pull():
                await self.pull_from(self._pull_source())

    async def pull_from(self, member: Member | None) -> None:
        """Ask a member for the tickets after those in force; do nothing without a member."""
        if member is None:
            return
        asked_at = anyio.current_time()
        request = TicketsAsked(self._applied.number)
        answer = await self._peers.request(
            member.address, request, timeout_s=PULL_TIMEOUT_S, idempotent=True
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, TicketsGiven):
            return
        self._on_answer(request.after, answer.ok_value, asked_at)

    def _needs_pull(self) -> bool:
        stale_s = STALE_FRACTION * self._current_within_s
        stale = min(self._currency.age_s, self._currency.outage_age_s) > stale_s
        return stale or self._peer_numbers.highest > self._applied.number

    def _pull_source(self) -> Member | None:
        own = self._membership.self_name
        local_watchers = [member for member in self._watchers.members() if member.node != own]
        others = [member for member in self._membership.alive() if member.node != own]
        remote_members = [m for m in others if m.data_centre != self._data_centre]
        choices = [group for group in (local_watchers, remote_members, others) if group]
        return self._rng.choice(self._rng.choice(choices)) if choices else None
