"""The state of one stream that a gateway relays, and how its response is written."""

from __future__ import annotations

import re
from typing import NamedTuple
from typing import Protocol
from typing import final

import anyio

from bramleylead.connection._events import StreamEvent
from bramleylead.errors import Failure
from bramleylead.gateway._budgets import BudgetReservation
from bramleylead.gateway._call import Call
from bramleylead.gateway._call import CompleteResponse
from bramleylead.gateway._customer_permits import NOT_COUNTED
from bramleylead.gateway._customer_permits import Admission
from bramleylead.gateway._permit_waits import RETRY_AFTER_S
from bramleylead.gateway._plain_calls import MAX_UNREACHED_REPLICAS
from bramleylead.gateway._replica_connection import ResponseHead
from bramleylead.ledger._entries import new_entry
from bramleylead.ledger._records import KeptTurn
from bramleylead.platform._types import NO_SOFTWARE
from bramleylead.platform._types import Software


class ResponseWriter(Protocol):
    """Writes the response to one request."""

    async def start_stream(self, head: ResponseHead) -> None:
        """Send the status and headers of a stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a chunk of a stream."""
        ...

    async def finish_stream(self) -> None:
        """End a stream normally."""
        ...

    async def abort(self) -> None:
        """Abort a stream; the connection is closed so that the caller sees it as incomplete."""
        ...

    async def send_response(self, response: CompleteResponse) -> None:
        """Send a replica's complete response."""
        ...

    async def send_failure(self, failure: Failure) -> None:
        """Send an error response that the gateway itself generates."""
        ...


MAX_ID_DIGITS = 18
STREAM_TYPE = "text/event-stream"
HTTP_HEAD = re.compile(rb"^(id: ?)?HTTP/1\.[01] \d{3}", re.MULTILINE)
"""The head of a response within an event, maybe behind the beginning of the one it cut off."""


class PreparedRequest(NamedTuple):
    """The body and the budget reservation of a streaming request.

    :param body: the turn history, followed by the caller's input.
    :param reservation: the reservation to settle.
    :param service: the service that is to run it.
    :param begun_by: the software that began it, if a caller resumes it.
    :param admission: how it counts towards its customer's quota.
    """

    body: bytes
    reservation: BudgetReservation
    service: str
    begun_by: Software | None = None
    admission: Admission = NOT_COUNTED


@final
class Stream:
    """One stream relayed to the caller, from one replica or from several in sequence."""

    def __init__(self, call: Call, writer: ResponseWriter, prepared: PreparedRequest) -> None:
        self.call = call
        self.writer = writer
        self.body = prepared.body
        self.reservation = prepared.reservation
        self.service = prepared.service
        self.begun_by = prepared.begun_by
        self.admission = prepared.admission
        self.started_at = anyio.current_time()
        self.retry_after_s = RETRY_AFTER_S
        self.started = False
        self.finished = False
        self.may_have_run = False
        self.connection_lost = False
        self.software_changed = False
        self.attempts = 0
        self.unreached = 0
        self.events = 0
        self.last_event_id = call.metadata.resume_after
        self.media_type = STREAM_TYPE if call.resumes_stream else ""
        self.output = bytearray()
        self.tried_replicas: set[str] = set()
        self.detail = "no replica is available"
        self.error_response: CompleteResponse | None = None

    def accept_event(self, event: StreamEvent) -> bool:
        """Add an event if it is the next one of this stream; return whether it is.

        The ids of a stream increase. What a faulty replica writes instead of the rest may be
        events sent before, or another response, which looks like an event.
        """
        if not _follows(event.event_id, self.last_event_id) or HTTP_HEAD.search(event.raw):
            return False
        self.events += 1
        self.last_event_id = event.event_id or self.last_event_id
        if self.call.route.retains_turns:
            self.output += event.data + b"\n"
        return True

    @property
    def is_under_way(self) -> bool:
        """Whether the stream's program is in progress, as far as that is known."""
        progress = self.reservation.progress
        return bool(self.call.metadata.previous_turn) or bool(progress and progress.turns)

    @property
    def can_retry(self) -> bool:
        """Whether the request may be sent to another replica."""
        if self.software_changed:
            return False
        if self.may_have_run and not self.call.route.resumable:
            return False
        return (
            self.attempts < self.call.route.max_attempts and self.unreached < MAX_UNREACHED_REPLICAS
        )

    @property
    def software(self) -> Software | None:
        """The software that must run the stream, or that is recorded as the one to begin it."""
        if self.begun_by is not None or self.reservation.spending is None:
            return self.begun_by
        recorded = self.reservation.spending.software
        return None if recorded == NO_SOFTWARE else recorded

    @property
    def tokens(self) -> int:
        """The tokens sent to the caller, as budgets count them."""
        services = self.call.configuration.services
        engines = [
            spec.engine
            for share in self.call.route.shares
            if (spec := services.get(share.service)) is not None and spec.engine is not None
        ]
        return self.events * max((engine.tokens_per_event for engine in engines), default=1)

    def kept_turn(self) -> KeptTurn:
        """Return the record of this turn, once it is complete."""
        call = self.call
        return KeptTurn(
            turn=call.metadata.request_id,
            previous=call.metadata.previous_turn,
            program=call.metadata.program,
            entry=self._entry(),
            tokens=self.tokens,
            keep_s=call.route.turn_retention_s,
            new_input=call.body,
            event_data=bytes(self.output),
        )

    def _entry(self) -> str:
        """Return the entry of this turn, which also tells its customer, if it has one."""
        customer = self.call.turn_owner
        if self.reservation.entry or not customer:
            return self.reservation.entry
        return new_entry(self.call.metadata.request_id, customer)


def _follows(event_id: str, previous_id: str) -> bool:
    """Return whether an event may come after another one; one without an id always may."""
    if not event_id or not _is_number(previous_id):
        return True
    return _is_number(event_id) and int(event_id) > int(previous_id)


def _is_number(text: str) -> bool:
    """Return whether a text is a number of a length that ``int`` accepts."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_ID_DIGITS
