"""The interface between the HTTP layer and a node: the operations for callers and operators."""

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
    """How far a ticket has spread."""

    WAITING = "waiting"
    """Accepted; a ticket with a lower number is still missing."""
    SPREADING = "spreading"
    """In force on some nodes."""
    IN_FORCE = "in force"
    """In force on every live node."""


class TicketAccepted(NamedTuple):
    """The result of submitting a ticket.

    :param repeated: whether the same ticket was already accepted before.
    """

    number: int
    repeated: bool


class TicketSummary(NamedTuple):
    """One entry in the list of tickets."""

    number: int
    author: str
    note: str


class NodeTicket(NamedTuple):
    """What one node last reported about the tickets in force on it.

    :param number: ticket number in force.
    :param age_s: seconds since that report.
    """

    node: str
    number: int
    age_s: float


class TicketStatus(NamedTuple):
    """Where a ticket is in force.

    :param missing: nodes that have not confirmed that the ticket is in force.
    """

    number: int
    state: TicketState
    nodes: tuple[NodeTicket, ...]
    missing: tuple[str, ...]


class NodeService(Protocol):
    """The operations that the HTTP layer needs from a node."""

    @property
    def metrics(self) -> Metrics:
        """The node's metrics, with their registry."""
        ...

    @property
    def promises(self) -> Promises:
        """The node's invariant checks; the HTTP layer checks that answers are complete."""
        ...

    @property
    def config(self) -> Config:
        """The configuration in force."""
        ...

    @property
    def stopping(self) -> bool:
        """Whether the node is stopping and accepts no new work."""
        ...

    def alive(self) -> bool:
        """Whether the process is alive (``/healthz``)."""
        ...

    def ready(self) -> bool:
        """Whether the load balancer should send callers here (``/readyz``)."""
        ...

    def dump(self) -> dict[str, Any]:
        """Return the process's state without secrets, as values that JSON can encode."""
        ...

    def explain(self, program: str, number: int) -> dict[str, Any]:
        """Return what the node knows about a call, including why its endpoint was chosen."""
        ...

    def branch_of_key(self, key: str) -> str | None:
        """Return the branch that this key belongs to, if any."""
        ...

    def is_operator(self, key: str) -> bool:
        """Whether this is the operators' key."""
        ...

    async def open_program(self, request: OpenProgram) -> Result[ProgramView, Failure]:
        """Open a program; idempotent."""
        ...

    async def read_program(self, request: ReadProgram) -> Result[ProgramView, Failure]:
        """Read a program's state."""
        ...

    async def end_program(self, request: EndProgram) -> Result[ProgramView, Failure]:
        """End a program and its sub-agents."""
        ...

    def call(self, request: CallRequest) -> AbstractAsyncContextManager[AsyncIterator[CallItem]]:
        """Run a call, or join it. The last item is an :class:`AnswerEnd` or a :class:`Failure`.

        Leaving the context closes the iterator; leaving it early does not stop the call. A failure
        kind that says "not run" guarantees this to the caller: a call that may have reached its
        owner before the stream broke is ``OWNER_LOST``, not ``OWNER_UNAVAILABLE``.
        """
        ...

    def resume(self, request: ResumeCall) -> AbstractAsyncContextManager[AsyncIterator[CallItem]]:
        """Read an answer from an offset; yields items as :meth:`call` does."""
        ...

    async def submit_ticket(self, body: bytes) -> Result[TicketAccepted, Failure]:
        """Check a ticket's JSON and accept it under its number, or reject it without any effect."""
        ...

    async def ticket_status(self, number: int) -> Result[TicketStatus, Failure]:
        """Return on which nodes an accepted ticket is in force."""
        ...

    async def list_tickets(self) -> Result[tuple[TicketSummary, ...], Failure]:
        """List the accepted tickets in number order."""
        ...

    async def show_ticket(self, number: int) -> Result[dict[str, Any], Failure]:
        """Return an accepted ticket's JSON."""
        ...
