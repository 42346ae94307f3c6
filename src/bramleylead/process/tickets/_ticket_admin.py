"""Operator commands for tickets: submit, list, show, and report where a ticket is in force."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from typing import final

import anyio
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.fleet._members import Member
from bramleylead.fleet._members import MemberState
from bramleylead.json_input import decode_json
from bramleylead.process.membership._membership import Membership
from bramleylead.process.tickets._applied_tickets import digest_of
from bramleylead.process.tickets._ticket_messages import NumberAsked
from bramleylead.process.tickets._ticket_messages import NumberGiven
from bramleylead.process.tickets._tickets import TicketLog
from bramleylead.request import NodeTicket
from bramleylead.request import TicketAccepted
from bramleylead.request import TicketState
from bramleylead.request import TicketStatus
from bramleylead.request import TicketSummary
from bramleylead.version import Config
from bramleylead.version import Ticket

Validator = Callable[[bytes, Config], Result[Ticket, Failure]]

NUMBER_TIMEOUT_S = 1.0
MAX_CONCURRENT_REQUESTS = 32


@final
class TicketAdmin:
    """Operator interface of the ticket log.

    :param validate: checks a ticket's JSON against the configuration that precedes it.
    """

    def __init__(
        self, log: TicketLog, *, peers: PeerClient, membership: Membership, validate: Validator
    ) -> None:
        self._log = log
        self._peers = peers
        self._membership = membership
        self._validate = validate

    async def submit_ticket(self, body: bytes) -> Result[TicketAccepted, Failure]:
        """Accept a ticket under its number, or reject it without effect.

        A ticket is checked against the configuration of the preceding number, so its number must
        be the next one. Submitting the same ticket again is accepted. A different ticket under a
        used number is rejected with the author and digest of the existing one.
        """
        number = _number_in(body)
        refreshed = await self._log.refresh()
        if not refreshed and number is not None and number > self._log.config.number + 1:
            detail = f"ticket {number}: the store did not answer, so the next number is unknown"
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
        if number is not None and number <= self._log.config.number:
            return await self._compare_with_existing(number, body)
        next_number = self._log.config.number + 1
        if number is not None and number != next_number:
            detail = f"number: {number} is not the next ticket; allowed is {next_number}"
            return Err(Failure(ErrorKind.TICKET_INVALID, detail))
        checked = self._validate(body, self._log.config)
        if isinstance(checked, Err):
            return checked
        return await self._create(checked.ok_value)

    async def _create(self, ticket: Ticket) -> Result[TicketAccepted, Failure]:
        body = canonical(ticket)
        created = await self._log.store.create(ticket.number, body)
        if isinstance(created, Err):
            return created
        winner, repeated = created.ok_value
        self._log.learn(ticket.number, winner)
        if winner != body:
            return Err(_conflict(ticket.number, winner))
        return Ok(TicketAccepted(ticket.number, repeated))

    async def _compare_with_existing(
        self, number: int, body: bytes
    ) -> Result[TicketAccepted, Failure]:
        """Handle a submission whose number is already in force."""
        existing = await self._find_body(number)
        if isinstance(existing, Err):
            return existing
        try:
            same = canonical(Ticket.model_validate_json(body)) == existing.ok_value
        except ValidationError:
            same = False
        if same:
            return Ok(TicketAccepted(number, repeated=True))
        return Err(_conflict(number, existing.ok_value))

    async def _find_body(self, number: int) -> Result[bytes, Failure]:
        known = self._log.applied.body(number)
        if known is not None:
            return Ok(known)
        found = await self._log.store.read(number)
        if isinstance(found, Err):
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, found.err_value.detail))
        if found.ok_value is None:
            detail = f"no ticket {number}; the latest is {self._log.config.number}"
            return Err(Failure(ErrorKind.UNKNOWN_TARGET, detail))
        return Ok(found.ok_value.value)

    async def ticket_status(self, number: int) -> Result[TicketStatus, Failure]:
        """Ask every alive or suspect node which ticket is in force on it."""
        existing = await self._find_body(number)
        if isinstance(existing, Err):
            return existing
        members = [member for member in self._membership.members() if is_live(member)]
        nodes = await self._ask_all(members)
        in_force = {node.node for node in nodes if node.number >= number}
        missing = tuple(member.node for member in members if member.node not in in_force)
        state = TicketState.SPREADING if missing else TicketState.IN_FORCE
        if not in_force and number > self._log.config.number:
            state = TicketState.WAITING
        return Ok(TicketStatus(number, state, nodes, missing))

    async def _ask_all(self, members: list[Member]) -> tuple[NodeTicket, ...]:
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)
        answers: list[NodeTicket] = []

        async def ask(member: Member) -> None:
            async with limiter:
                answer = await self._peers.request(
                    member.address, NumberAsked(), timeout_s=NUMBER_TIMEOUT_S, idempotent=True
                )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, NumberGiven):
                answers.append(NodeTicket(member.node, answer.ok_value.number, 0.0))

        async with anyio.create_task_group() as tasks:
            for member in members:
                if member.node == self._membership.self_name:
                    answers.append(NodeTicket(member.node, self._log.config.number, 0.0))
                else:
                    tasks.start_soon(ask, member)
        return tuple(sorted(answers))

    async def list_tickets(self) -> Result[tuple[TicketSummary, ...], Failure]:
        """List the accepted tickets in number order."""
        found: list[TicketSummary] = []
        last = 0
        while True:
            page = await self._log.store.read_after(last)
            if isinstance(page, Err):
                return Err(Failure(ErrorKind.STORE_UNAVAILABLE, page.err_value.detail))
            if not page.ok_value:
                return Ok(tuple(found))
            for stored in page.ok_value:
                fields = json.loads(stored.value)
                last = fields["number"]
                found.append(TicketSummary(last, fields["author"], fields.get("note", "")))

    async def show_ticket(self, number: int) -> Result[dict[str, Any], Failure]:
        """Return an accepted ticket's JSON."""
        existing = await self._find_body(number)
        return existing.map(json.loads)


def is_live(member: Member) -> bool:
    """Whether a member should have the latest ticket in force."""
    return member.state in (MemberState.ALIVE, MemberState.SUSPECT)


def canonical(ticket: Ticket) -> bytes:
    """Return a ticket's canonical bytes: its JSON without spaces, in the schema's field order."""
    return ticket.model_dump_json().encode()


def _number_in(body: bytes) -> int | None:
    try:
        fields = decode_json(body)
    except ValueError:
        return None
    number = fields.get("number") if isinstance(fields, dict) else None
    return number if type(number) is int and number >= 1 else None


def _conflict(number: int, winner: bytes) -> Failure:
    try:
        author = str(decode_json(winner).get("author", ""))
    except (ValueError, AttributeError):
        author = "an unreadable body"
    detail = f"ticket {number} is held by {author}, digest {digest_of(winner)}"
    return Failure(ErrorKind.TICKET_CONFLICT, detail)
