"""The state of one partition: its programs and its budget grants, as the journal's entries add up.

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
    """Where a call stands in the journal."""

    INTENDED = "intended"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class CallRecord:
    """One call of a program. Fields as in the journal's entries."""

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
    """One program: its conversation, its calls by number, and the caches held for it.

    :param context_tokens: length of the conversation as the last engine counted it.
    :param attained: cost served so far, in token units; the scheduler's measure of how long a
        program is.
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

    ``granted`` is all that the store ever granted; what is neither spent, reserved nor returned
    can be reserved.
    """

    granted: int = 0
    reserved: int = 0
    spent: int = 0
    returned: int = 0
    incarnation: int = FIRST_INCARNATION
    limit: int = 0

    @property
    def free(self) -> int:
        """Units that a new call can reserve."""
        return self.granted - self.reserved - self.spent - self.returned


@final
class PartitionState:
    """Everything that a partition's journal adds up to."""

    def __init__(self) -> None:
        self.incarnation = FIRST_INCARNATION
        self.programs: dict[str, ProgramState] = {}
        self.grants: dict[str, GrantState] = {}

    def apply(self, entry: Entry) -> None:
        """Take in one entry."""
        _APPLY[type(entry)](self, entry)

    def grant(self, budget: str) -> GrantState:
        """Return the partition's share of a budget, empty at first."""
        return self.grants.setdefault(budget, GrantState())


def _open(state: PartitionState, entry: ProgramOpened) -> None:
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


def _intend(state: PartitionState, entry: CallIntended) -> None:
    program = state.programs[entry.program]
    previous = program.calls.get(entry.number)
    if previous is not None:
        _settle(state, previous, spent=0)
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
    _note_cache(program, entry.call_kind, entry.endpoint)


def _finish(state: PartitionState, entry: CallFinished) -> None:
    program = state.programs[entry.program]
    record = program.calls[entry.number]
    if record.status is not CallStatus.INTENDED:
        return  # two passes over interrupted calls may both end one: it must be paid once
    _settle(state, record, spent=entry.spent)
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
    _note_cache(program, record.call_kind, entry.endpoint)
    if record.call_kind is CallKind.MODEL and record.status is CallStatus.DONE:
        program.messages.extend(record.messages)
        program.messages.append(("assistant", entry.answer))
        program.context_tokens = entry.prompt_tokens + entry.output_tokens
        program.caches[entry.endpoint] = entry.prompt_tokens + entry.output_tokens


def _note_cache(program: ProgramState, kind: CallKind, endpoint: str) -> None:
    """Remember that an engine may hold a cache, of 0 known tokens, so that it is released."""
    if kind is CallKind.MODEL and endpoint:
        program.caches.setdefault(endpoint, 0)


def _settle(state: PartitionState, record: CallRecord, *, spent: int) -> None:
    grant = state.grant(record.budget)
    grant.reserved -= record.reserved
    grant.spent += spent
    record.reserved = 0
    record.spent += spent


def _withdraw(state: PartitionState, entry: CallWithdrawn) -> None:
    record = state.programs[entry.program].calls.pop(entry.number, None)
    if record is not None:
        _settle(state, record, spent=0)


def _end(state: PartitionState, entry: ProgramEnded) -> None:
    program = state.programs[entry.program]
    program.ended = program.ended or entry.reason
    program.last_at_s = entry.at_s


def _forget(state: PartitionState, entry: ProgramForgotten) -> None:
    state.programs.pop(entry.program, None)


def _hold_cache(state: PartitionState, entry: CacheHeld) -> None:
    program = state.programs.get(entry.program)
    if program is None:
        return
    if entry.tokens > 0:
        program.caches[entry.endpoint] = entry.tokens
    else:
        program.caches.pop(entry.endpoint, None)


def _add_grant(state: PartitionState, entry: GrantAdded) -> None:
    grant = state.grant(entry.budget)
    grant.granted = max(grant.granted, entry.total)
    grant.limit = entry.limit


def _return_grant(state: PartitionState, entry: GrantReturning) -> None:
    state.grant(entry.budget).returned += entry.units


def _forfeit_grant(state: PartitionState, entry: GrantForfeited) -> None:
    grant = state.grant(entry.budget)
    grant.granted = max(grant.granted, entry.granted)
    grant.returned = max(grant.returned, entry.returned)
    grant.spent += max(0, grant.free)
    grant.incarnation = entry.incarnation


def _roll_back(state: PartitionState, entry: RolledBack) -> None:
    state.incarnation = entry.incarnation
    for program in state.programs.values():
        program.incarnation = entry.incarnation


def _add_child(state: PartitionState, entry: ChildOpened) -> None:
    children = state.programs[entry.program].children
    if entry.child not in children:
        children.append(entry.child)


_APPLY: dict[type, Callable[[PartitionState, Any], None]] = {
    ProgramOpened: _open,
    CallIntended: _intend,
    CallFinished: _finish,
    CallWithdrawn: _withdraw,
    ProgramEnded: _end,
    ProgramForgotten: _forget,
    CacheHeld: _hold_cache,
    GrantAdded: _add_grant,
    GrantReturning: _return_grant,
    GrantForfeited: _forfeit_grant,
    RolledBack: _roll_back,
    ChildOpened: _add_child,
}
