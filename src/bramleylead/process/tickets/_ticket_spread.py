"""Sends proofs and tickets down the relay; a silent node's children are served by its parent."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple
from typing import final

import anyio
from result import Err

from bramleylead.connection import PeerClient
from bramleylead.node_settings import TicketSettings
from bramleylead.process.membership._members import Member
from bramleylead.process.membership._membership import Membership
from bramleylead.process.tickets._applied_tickets import AppliedTickets
from bramleylead.process.tickets._currency import Currency
from bramleylead.process.tickets._relay import Relay
from bramleylead.process.tickets._relay import make_relay
from bramleylead.process.tickets._ticket_messages import Pushed
from bramleylead.process.tickets._ticket_messages import PushTaken

PUSH_TIMEOUT_S = 0.3
PUSHED_BYTES = 100_000


class _Heard(NamedTuple):
    """A member's last answer: its number, its tick, and when it came."""

    number: int
    tick: int
    at: float


@final
class TicketSpread:
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
        self._heard: dict[str, _Heard] = {}
        self._relay: Relay | None = None
        self._relay_members: Sequence[Member] = ()

    async def push_from_here(self) -> None:
        """Begin a push with this node as its root."""
        await self.pass_on(self._rng.getrandbits(62), self._membership.self_name)

    async def pass_on(self, push: int, root: str) -> None:
        """Send this node's proof and tickets to its children under a root."""
        await self._serve(push, root, self._membership.self_name)

    async def _serve(self, push: int, root: str, node: str) -> None:
        async with anyio.create_task_group() as tasks:
            for child in self._current_relay().children(root, node):
                tasks.start_soon(self._push, push, root, child)

    async def _push(self, push: int, root: str, child: Member) -> None:
        message = self._message(push, root, child)
        answer = await self._peers.request(
            child.address, message, timeout_s=PUSH_TIMEOUT_S, idempotent=True
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, PushTaken):
            self._heard.pop(child.node, None)
            await self._serve(push, root, child.node)
            return
        taken = answer.ok_value
        self._heard[child.node] = _Heard(taken.number, taken.tick, anyio.current_time())

    def _message(self, push: int, root: str, child: Member) -> Pushed:
        proof = self._currency.state()
        heard = self._heard.get(child.node)
        if heard is None:
            return Pushed(push, root, proof, 0, 0.0, self._lacked(child.ticket))
        held_s = anyio.current_time() - heard.at
        return Pushed(push, root, proof, heard.tick, held_s, self._lacked(heard.number))

    def _lacked(self, number: int) -> list[bytes]:
        """Return all tickets after a number, or none if they are too many for a push."""
        tickets = self._applied.bodies_after(number, limit_bytes=PUSHED_BYTES)
        return tickets if number + len(tickets) == self._applied.number else []

    def _current_relay(self) -> Relay:
        """Return the relay over this data centre's members; built anew when they changed."""
        listed = self._membership.members()
        if self._relay is None or listed is not self._relay_members:
            own = self._membership.own.data_centre
            near = [member for member in listed if member.data_centre == own]
            fanout = self._settings.fanout
            self._relay = make_relay(self._relay_name, near, fanout, self._rng)
            self._relay_members = listed
            names = {member.node for member in listed}
            self._heard = {node: heard for node, heard in self._heard.items() if node in names}
        return self._relay
