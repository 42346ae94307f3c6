"""Pushes proofs and tickets along the relay; if a child does not answer, pushes to its children."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple
from typing import final

import anyio
from result import Err

from bramleylead.connection import PeerClient
from bramleylead.fleet._members import Member
from bramleylead.node_settings import TicketSettings
from bramleylead.process.membership._membership import Membership
from bramleylead.process.tickets._applied_tickets import AppliedTickets
from bramleylead.process.tickets._currency import Currency
from bramleylead.process.tickets._relay import Relay
from bramleylead.process.tickets._relay import make_relay
from bramleylead.process.tickets._ticket_messages import Pushed
from bramleylead.process.tickets._ticket_messages import PushTaken

PUSH_TIMEOUT_S = 0.3
MAX_PUSH_BYTES = 100_000


class _LastAnswer(NamedTuple):
    """A member's last answer: its ticket number, its tick, and when it arrived."""

    number: int
    tick: int
    at: float


@final
class TicketPusher:
    """The sending side of the relay."""

    def __init__(
        self,
        peers: PeerClient,
        membership: Membership,
        applied: AppliedTickets,
        currency: Currency,
        settings: TicketSettings,
        rng: random.Random,
        *,
        relay: str,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._applied = applied
        self._currency = currency
        self._settings = settings
        self._rng = rng
        self._relay_name = relay
        self._last_answers: dict[str, _LastAnswer] = {}
        self._relay: Relay | None = None
        self._relay_members: Sequence[Member] = ()

    async def start_push(self) -> None:
        """Start a push with this node as its root."""
        await self.forward(self._rng.getrandbits(62), self._membership.self_name)

    async def forward(self, push: int, root: str) -> None:
        """Forward a push: send this node's proof and tickets to its children under the root."""
        await self._push_to_children(push, root, self._membership.self_name)

    async def _push_to_children(self, push: int, root: str, node: str) -> None:
        async with anyio.create_task_group() as tasks:
            for child in self._current_relay().children(root, node):
                tasks.start_soon(self._push_to, push, root, child)

    async def _push_to(self, push: int, root: str, child: Member) -> None:
        message = self._message(push, root, child)
        answer = await self._peers.request(
            child.address, message, timeout_s=PUSH_TIMEOUT_S, idempotent=True
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, PushTaken):
            self._last_answers.pop(child.node, None)
            await self._push_to_children(push, root, child.node)
            return
        taken = answer.ok_value
        self._last_answers[child.node] = _LastAnswer(taken.number, taken.tick, anyio.current_time())

    def _message(self, push: int, root: str, child: Member) -> Pushed:
        proof = self._currency.to_proof()
        last_answer = self._last_answers.get(child.node)
        if last_answer is None:
            return Pushed(push, root, proof, 0, 0.0, self._missing_tickets(child.ticket))
        held_s = anyio.current_time() - last_answer.at
        return Pushed(
            push, root, proof, last_answer.tick, held_s, self._missing_tickets(last_answer.number)
        )

    def _missing_tickets(self, number: int) -> list[bytes]:
        """Return all tickets after a number, or none if they are too large for a push."""
        tickets = self._applied.bodies_after(number, limit_bytes=MAX_PUSH_BYTES)
        return tickets if number + len(tickets) == self._applied.number else []

    def _current_relay(self) -> Relay:
        """Return the relay over this data centre's members; rebuild it when they have changed."""
        listed = self._membership.members()
        if self._relay is None or listed is not self._relay_members:
            own_data_centre = self._membership.own.data_centre
            local_members = [member for member in listed if member.data_centre == own_data_centre]
            fanout = self._settings.fanout
            self._relay = make_relay(self._relay_name, local_members, fanout, self._rng)
            self._relay_members = listed
            names = {member.node for member in listed}
            self._last_answers = {
                node: last_answer
                for node, last_answer in self._last_answers.items()
                if node in names
            }
        return self._relay
