"""The interface between a node and its HTTP face: what callers and operators can ask of a node."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import Any
from typing import NamedTuple
from typing import Protocol

from result import Result

from bramleylead.errors import Failure
from bramleylead.metrics import Metrics
from bramleylead.promises import Promises
from bramleylead.request._messages import AnswerChunk
from bramleylead.request._messages import AnswerEnd
from bramleylead.request._messages import AnswerStart
from bramleylead.request._messages import CallRequest
from bramleylead.request._messages import EndProgram
from bramleylead.request._messages import OpenProgram
from bramleylead.request._messages import ProgramView
from bramleylead.request._messages import ReadProgram
from bramleylead.request._messages import ResumeCall
from bramleylead.version import Config

CallItem = AnswerStart | AnswerChunk | AnswerEnd | Failure


class TicketState(StrEnum):
    """How far a ticket has come."""

    WAITING = "waiting"
    """Accepted; a lower number is still missing."""
    SPREADING = "spreading"
    """In force on some nodes."""
    IN_FORCE = "in force"
    """In force on every live node."""


class TicketAccepted(NamedTuple):
    """The answer to a submitted ticket.

    :param repeated: whether the same ticket had been accepted before.
    """

    number: int
    repeated: bool


class TicketSummary(NamedTuple):
    """One line of the list of tickets."""

    number: int
    author: str
    note: str


class NodeTicket(NamedTuple):
    """What one node last said about the tickets in force on it.

    :param number: ticket number in force.
    :param age_s: seconds since it said so.
    """

    node: str
    number: int
    age_s: float


class TicketStatus(NamedTuple):
    """Where a ticket is in force.

    :param missing: nodes that have not shown that they have it.
    """

    number: int
    state: TicketState
    nodes: tuple[NodeTicket, ...]
    missing: tuple[str, ...]


class NodeService(Protocol):
    """A node as its HTTP face sees it."""

    @property
    def metrics(self) -> Metrics:
        """The node's metrics, with their registry."""
        ...

    @property
    def promises(self) -> Promises:
        """The node's invariants; the HTTP face checks that answers are whole."""
        ...

    @property
    def config(self) -> Config:
        """The configuration in force."""
        ...

    @property
    def stopping(self) -> bool:
        """Whether the node is stopping and takes no new work."""
        ...

    def alive(self) -> bool:
        """Whether the process works at all (``/healthz``)."""
        ...

    def ready(self) -> bool:
        """Whether the balancer should send callers here (``/readyz``)."""
        ...

    def dump(self) -> dict[str, Any]:
        """Return the process's state as JSON-able values, secrets left out."""
        ...

    def explain(self, program: str, number: int) -> dict[str, Any]:
        """Return what the node knows of a call, and why it went where it went."""
        ...

    def branch_of_key(self, key: str) -> str | None:
        """Return the branch whose callers send this key."""
        ...

    def is_operator(self, key: str) -> bool:
        """Whether this is the operators' key."""
        ...

    async def open_program(self, request: OpenProgram) -> Result[ProgramView, Failure]:
        """Open a program; a repeat is no second one."""
        ...

    async def read_program(self, request: ReadProgram) -> Result[ProgramView, Failure]:
        """Read a program's state."""
        ...

    async def end_program(self, request: EndProgram) -> Result[ProgramView, Failure]:
        """End a program and its sub-agents."""
        ...

    def call(self, request: CallRequest) -> AbstractAsyncContextManager[AsyncIterator[CallItem]]:
        """Run a call, or join it. The last item is an :class:`AnswerEnd` or a :class:`Failure`.

        Leaving the context closes the iterator; early, it gives up the wait, not the call. A
        failure whose kind says "not run" is passed on as that promise: a call that may have
        reached its owner before the stream broke is ``OWNER_LOST``, not ``OWNER_UNAVAILABLE``.
        """
        ...

    def resume(self, request: ResumeCall) -> AbstractAsyncContextManager[AsyncIterator[CallItem]]:
        """Get an answer from an offset; items as in :meth:`call`."""
        ...

    async def submit_ticket(self, body: bytes) -> Result[TicketAccepted, Failure]:
        """Check a ticket's JSON and accept it under its number, or refuse it without effect."""
        ...

    async def ticket_status(self, number: int) -> Result[TicketStatus, Failure]:
        """Say on which nodes an accepted ticket is in force."""
        ...

    async def list_tickets(self) -> Result[tuple[TicketSummary, ...], Failure]:
        """List the accepted tickets in number order."""
        ...

    async def show_ticket(self, number: int) -> Result[dict[str, Any], Failure]:
        """Return an accepted ticket's JSON."""
        ...
