"""The closed list of error kinds, and the table from a kind to the answer a caller gets."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Ran(StrEnum):
    """Whether the refused or failed call had any effect at its endpoint."""

    RAN = "ran"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every way in which a request can fail. Interfaces return no other."""

    MALFORMED = "malformed"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_BRANCH = "unknown_branch"
    UNKNOWN_PROGRAM = "unknown_program"
    UNKNOWN_TARGET = "unknown_target"
    UNKNOWN_TURN = "unknown_turn"
    PROGRAM_ENDED = "program_ended"
    OUT_OF_ORDER = "out_of_order"
    DUPLICATE_MISMATCH = "duplicate_mismatch"
    HISTORY_ROLLED_BACK = "history_rolled_back"
    LIMIT_REACHED = "limit_reached"
    CRASHES_ENDPOINTS = "crashes_endpoints"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    BUDGET_EXHAUSTED = "budget_exhausted"
    QUOTA_EXCEEDED = "quota_exceeded"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OWNER_UNAVAILABLE = "owner_unavailable"
    OWNER_LOST = "owner_lost"
    NOT_DURABLE = "not_durable"
    NOT_CURRENT = "not_current"
    STORE_UNAVAILABLE = "store_unavailable"
    STOPPING = "stopping"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_REJECTED = "endpoint_rejected"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    TICKET_CONFLICT = "ticket_conflict"
    TICKET_INVALID = "ticket_invalid"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """What a caller is told for one error kind.

    :param status: HTTP status code.
    :param ran: whether the call ran.
    :param retry_after_s: when a retry makes sense, in seconds; ``None`` when the same call can't
        succeed.
    :param advice: what the caller can do about it.
    """

    status: int
    ran: Ran
    retry_after_s: float | None
    advice: str


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED: Answer(400, Ran.NOT_RUN, None, "correct the request"),
    ErrorKind.TOO_LARGE: Answer(413, Ran.NOT_RUN, None, "send a smaller request"),
    ErrorKind.UNAUTHENTICATED: Answer(401, Ran.NOT_RUN, None, "send a valid key"),
    ErrorKind.FORBIDDEN: Answer(403, Ran.NOT_RUN, None, "use the key of the program's branch"),
    ErrorKind.UNKNOWN_BRANCH: Answer(404, Ran.NOT_RUN, None, "name a branch a ticket created"),
    ErrorKind.UNKNOWN_PROGRAM: Answer(404, Ran.NOT_RUN, None, "open the program first"),
    ErrorKind.UNKNOWN_TARGET: Answer(404, Ran.NOT_RUN, None, "name a model or tool allowed here"),
    ErrorKind.UNKNOWN_TURN: Answer(404, Ran.NOT_RUN, None, "start a new chain of turns"),
    ErrorKind.PROGRAM_ENDED: Answer(409, Ran.NOT_RUN, None, "open a new program"),
    ErrorKind.OUT_OF_ORDER: Answer(409, Ran.NOT_RUN, None, "send the calls in number order"),
    ErrorKind.DUPLICATE_MISMATCH: Answer(409, Ran.NOT_RUN, None, "use a new call number"),
    ErrorKind.HISTORY_ROLLED_BACK: Answer(
        409, Ran.NOT_RUN, None, "read the program's state and continue from its last call"
    ),
    ErrorKind.LIMIT_REACHED: Answer(422, Ran.NOT_RUN, None, "end the program"),
    ErrorKind.BUDGET_EXHAUSTED: Answer(402, Ran.NOT_RUN, None, "ask the operator for a budget"),
    ErrorKind.QUOTA_EXCEEDED: Answer(429, Ran.NOT_RUN, 1.0, "send fewer requests"),
    ErrorKind.STREAM_NOT_RESUMABLE: Answer(503, Ran.NOT_RUN, 1.0, "begin the stream again"),
    ErrorKind.CRASHES_ENDPOINTS: Answer(
        503, Ran.NOT_RUN, 10.0, "don't repeat the request: endpoints crashed that ran it"
    ),
    ErrorKind.OVERLOADED: Answer(503, Ran.NOT_RUN, 2.0, "retry later"),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, Ran.NOT_RUN, 1.0, "retry with a longer deadline"),
    ErrorKind.OWNER_UNAVAILABLE: Answer(503, Ran.NOT_RUN, 1.0, "retry later"),
    ErrorKind.OWNER_LOST: Answer(
        503, Ran.UNKNOWN, 1.0, "retry under the same call number or idempotency key"
    ),
    ErrorKind.NOT_DURABLE: Answer(503, Ran.NOT_RUN, 2.0, "retry later"),
    ErrorKind.NOT_CURRENT: Answer(503, Ran.NOT_RUN, 1.0, "retry later"),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, Ran.NOT_RUN, 5.0, "retry later"),
    ErrorKind.STOPPING: Answer(503, Ran.NOT_RUN, 0.5, "retry, another node answers"),
    ErrorKind.ENDPOINT_FAILED: Answer(502, Ran.RAN, 1.0, "retry the call under its number"),
    ErrorKind.ENDPOINT_LOST: Answer(
        502, Ran.UNKNOWN, None, "check at the endpoint whether the call took effect"
    ),
    ErrorKind.ENDPOINT_REJECTED: Answer(502, Ran.NOT_RUN, None, "correct the request"),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        504, Ran.UNKNOWN, None, "check at the tool whether the call took effect"
    ),
    ErrorKind.CANCELLED: Answer(499, Ran.RAN, None, "read the program's state"),
    ErrorKind.TICKET_CONFLICT: Answer(409, Ran.NOT_RUN, None, "submit under the next free number"),
    ErrorKind.TICKET_INVALID: Answer(422, Ran.NOT_RUN, None, "correct the named fields"),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, None, "read the program's state"),
}


class Failure(NamedTuple):
    """One failure as it travels between modules and nodes.

    :param kind: the error kind; :data:`ANSWERS` gives the rest of the answer.
    :param detail: what was wrong, where, and what is allowed.
    :param retry_after_s: overrides the table's hint, in seconds; negative means: use the table's.
    """

    kind: ErrorKind
    detail: str
    retry_after_s: float = -1.0

    @property
    def answer(self) -> Answer:
        """The row of the answer table for this failure, with its own retry hint if it has one."""
        row = ANSWERS[self.kind]
        if self.retry_after_s < 0:
            return row
        return row._replace(retry_after_s=self.retry_after_s)
