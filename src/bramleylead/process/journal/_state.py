"""The state of one partition: its programs and budget grants, derived from the journal's entries.

Applying an entry is deterministic and never fails, so that both copies and every recovery reach
the same state.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Any
from typing import final

from bramleylead.process.journal._entries import CacheHeld
from bramleylead.process.journal._entries import CallFinished
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import CallWithdrawn
from bramleylead.process.journal._entries import ChildOpened
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._entries import GrantAdded
from bramleylead.process.journal._entries import GrantForfeited
from bramleylead.process.journal._entries import GrantReturning
from bramleylead.process.journal._entries import ProgramEnded
from bramleylead.process.journal._entries import ProgramForgotten
from bramleylead.process.journal._entries import ProgramOpened
from bramleylead.process.journal._entries import RolledBack
from bramleylead.request import CallKind

FIRST_INCARNATION = 1


class CallStatus(StrEnum):
    """Status of a call in the journal."""

    INTENDED = "intended"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class CallRecord:
    """One call of a program. The fields have the same meaning as in the journal's entries."""

    number: int
    key: str
    digest: str
    call_kind: CallKind
    target: str
    repeatable: bool
    budget: str
    reserved: int
    messages: tuple[tuple[str, str], ...]
    status: CallStatus = CallStatus.INTENDED
    answer: str = ""
    value: Any = None
    finish: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    endpoint: str = ""
    spent: int = 0


@dataclass(slots=True)
class ProgramState:
    """One program: its conversation, its calls by number, and the engine caches held for it.

    :param context_tokens: length of the conversation as counted by the last engine.
    :param attained: service received so far, in tokens. The scheduler uses it as a measure of the
        program's length.
    """

    program: str
    branch: str
    kind: str
    parent: str
    incarnation: int
    opened_at_s: float
    last_at_s: float
    messages: list[tuple[str, str]] = field(default_factory=list)
    calls: dict[int, CallRecord] = field(default_factory=dict)
    caches: dict[str, int] = field(default_factory=dict)
    children: list[str] = field(default_factory=list)
    last_number: int = 0
    tokens_used: int = 0
    context_tokens: int = 0
    attained: float = 0.0
    ended: str = ""


@dataclass(slots=True)
class GrantState:
    """A partition's share of one budget, in budget units.

    ``granted`` counts all units that the store ever granted. Units that are not spent, reserved or
    returned can be reserved.
    """

    granted: int = 0
    reserved: int = 0
    spent: int = 0
    returned: int = 0
    incarnation: int = FIRST_INCARNATION
    limit: int = 0

    @property
    def free(self) -> int:
        """Units that new calls can reserve."""
        return self.granted - self.reserved - self.spent - self.returned


@final
class PartitionState:
    """The state that results from all entries of a partition's journal."""

    def __init__(self) -> None:
        self.incarnation = FIRST_INCARNATION
        self.programs: dict[str, ProgramState] = {}
        self.grants: dict[str, GrantState] = {}

    def apply(self, entry: Entry) -> None:
        """Apply one entry."""
        _APPLY_FUNCTIONS[type(entry)](self, entry)

    def grant(self, budget: str) -> GrantState:
        """Return the partition's share of a budget, which is empty until the first grant."""
        return self.grants.setdefault(budget, GrantState())


def _apply_program_opened(state: PartitionState, entry: ProgramOpened) -> None:
    if entry.program in state.programs:
        return
    state.programs[entry.program] = ProgramState(
        program=entry.program,
        branch=entry.branch,
        kind=entry.kind,
        parent=entry.parent,
        incarnation=state.incarnation,
        opened_at_s=entry.at_s,
        last_at_s=entry.at_s,
        attained=entry.attained,
    )


def _apply_call_intended(state: PartitionState, entry: CallIntended) -> None:
    program = state.programs[entry.program]
    previous = program.calls.get(entry.number)
    if previous is not None:
        _settle_reservation(state, previous, spent=0)
    program.calls[entry.number] = CallRecord(
        number=entry.number,
        key=entry.key,
        digest=entry.digest,
        call_kind=entry.call_kind,
        target=entry.target,
        repeatable=entry.repeatable,
        budget=entry.budget,
        reserved=entry.reserved,
        messages=entry.messages,
    )
    program.last_at_s = entry.at_s
    state.grant(entry.budget).reserved += entry.reserved
    _record_possible_cache(program, entry.call_kind, entry.endpoint)


def _apply_call_finished(state: PartitionState, entry: CallFinished) -> None:
    program = state.programs[entry.program]
    record = program.calls[entry.number]
    if record.status is not CallStatus.INTENDED:
        return  # concurrent passes may both finish an interrupted call; it must be charged once
    _settle_reservation(state, record, spent=entry.spent)
    record.status = CallStatus(entry.status)
    record.answer = entry.answer
    record.value = entry.value
    record.finish = entry.finish
    record.prompt_tokens = entry.prompt_tokens
    record.cached_tokens = entry.cached_tokens
    record.output_tokens = entry.output_tokens
    record.endpoint = entry.endpoint
    program.last_at_s = entry.at_s
    program.last_number = max(program.last_number, entry.number)
    program.tokens_used += entry.prompt_tokens - entry.cached_tokens + entry.output_tokens
    program.attained += entry.prompt_tokens - entry.cached_tokens + entry.output_tokens
    _record_possible_cache(program, record.call_kind, entry.endpoint)
    if record.call_kind is CallKind.MODEL and record.status is CallStatus.DONE:
        program.messages.extend(record.messages)
        program.messages.append(("assistant", entry.answer))
        program.context_tokens = entry.prompt_tokens + entry.output_tokens
        program.caches[entry.endpoint] = entry.prompt_tokens + entry.output_tokens


def _record_possible_cache(program: ProgramState, kind: CallKind, endpoint: str) -> None:
    """Record a cache of 0 known tokens that an engine may hold, so that it gets released."""
    if kind is CallKind.MODEL and endpoint:
        program.caches.setdefault(endpoint, 0)


def _settle_reservation(state: PartitionState, record: CallRecord, *, spent: int) -> None:
    grant = state.grant(record.budget)
    grant.reserved -= record.reserved
    grant.spent += spent
    record.reserved = 0
    record.spent += spent


def _apply_call_withdrawn(state: PartitionState, entry: CallWithdrawn) -> None:
    record = state.programs[entry.program].calls.pop(entry.number, None)
    if record is not None:
        _settle_reservation(state, record, spent=0)


def _apply_program_ended(state: PartitionState, entry: ProgramEnded) -> None:
    program = state.programs[entry.program]
    program.ended = program.ended or entry.reason
    program.last_at_s = entry.at_s


def _apply_program_forgotten(state: PartitionState, entry: ProgramForgotten) -> None:
    state.programs.pop(entry.program, None)


def _apply_cache_held(state: PartitionState, entry: CacheHeld) -> None:
    program = state.programs.get(entry.program)
    if program is None:
        return
    if entry.tokens > 0:
        program.caches[entry.endpoint] = entry.tokens
    else:
        program.caches.pop(entry.endpoint, None)


def _apply_grant_added(state: PartitionState, entry: GrantAdded) -> None:
    grant = state.grant(entry.budget)
    grant.granted = max(grant.granted, entry.total)
    grant.limit = entry.limit


def _apply_grant_returning(state: PartitionState, entry: GrantReturning) -> None:
    state.grant(entry.budget).returned += entry.units


def _apply_grant_forfeited(state: PartitionState, entry: GrantForfeited) -> None:
    grant = state.grant(entry.budget)
    grant.granted = max(grant.granted, entry.granted)
    grant.returned = max(grant.returned, entry.returned)
    grant.spent += max(0, grant.free)
    grant.incarnation = entry.incarnation


def _apply_rolled_back(state: PartitionState, entry: RolledBack) -> None:
    state.incarnation = entry.incarnation
    for program in state.programs.values():
        program.incarnation = entry.incarnation


def _apply_child_opened(state: PartitionState, entry: ChildOpened) -> None:
    children = state.programs[entry.program].children
    if entry.child not in children:
        children.append(entry.child)


_APPLY_FUNCTIONS: dict[type, Callable[[PartitionState, Any], None]] = {
    ProgramOpened: _apply_program_opened,
    CallIntended: _apply_call_intended,
    CallFinished: _apply_call_finished,
    CallWithdrawn: _apply_call_withdrawn,
    ProgramEnded: _apply_program_ended,
    ProgramForgotten: _apply_program_forgotten,
    CacheHeld: _apply_cache_held,
    GrantAdded: _apply_grant_added,
    GrantReturning: _apply_grant_returning,
    GrantForfeited: _apply_grant_forfeited,
    RolledBack: _apply_rolled_back,
    ChildOpened: _apply_child_opened,
}
