"""Entries of a partition's journal. Both copies apply them in order to the same state."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from bramleylead.connection import message
from bramleylead.request import CallKind


@message(130)
class ProgramOpened(NamedTuple):
    """A program began. ``at_s`` is wall-clock time in seconds.

    :param attained: cost that counts as served already; a sub-agent begins where its parent is.
    """

    program: str
    branch: str
    kind: str
    parent: str
    at_s: float
    attained: float = 0.0


@message(131)
class CallIntended(NamedTuple):
    """A call is about to be sent: from here on it may have run.

    :param digest: hash of the request, to tell a retry from another call under the same number.
    :param reserved: budget units set aside for the worst case.
    :param messages: the conversation's new messages.
    :param endpoint: where it is sent first. An engine may hold a cache of it whatever follows.
    """

    program: str
    number: int
    key: str
    digest: str
    call_kind: CallKind
    target: str
    repeatable: bool
    budget: str
    reserved: int
    messages: tuple[tuple[str, str], ...]
    at_s: float
    endpoint: str = ""


@message(132)
class CallFinished(NamedTuple):
    """A call ended with an answer, or its outcome will stay unknown.

    :param status: a :class:`~bramleylead.process.journal._state.CallStatus` value.
    :param answer: answer text of a model call, or the detail of a failure.
    :param value: JSON answer of a tool call.
    """

    program: str
    number: int
    status: str
    answer: str
    value: Any
    finish: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    endpoint: str
    spent: int
    at_s: float


@message(133)
class CallWithdrawn(NamedTuple):
    """A call certainly did not run: its number is free again and its reservation returns."""

    program: str
    number: int


@message(134)
class ProgramEnded(NamedTuple):
    """A program ended, for a reason in words."""

    program: str
    reason: str
    at_s: float


@message(135)
class ProgramForgotten(NamedTuple):
    """An ended program's caches are released and its record is no longer kept."""

    program: str


@message(136)
class CacheHeld(NamedTuple):
    """An endpoint holds ``tokens`` of the program's prefix; 0 is a confirmed release."""

    program: str
    endpoint: str
    tokens: int


@message(137)
class GrantAdded(NamedTuple):
    """The store granted units of a budget; ``total`` is all it ever granted here.

    :param limit: the budget's limit when the store was last asked.
    """

    budget: str
    total: int
    limit: int = 0


@message(138)
class GrantReturning(NamedTuple):
    """Units set aside to be given back; they can't be spent any more."""

    budget: str
    units: int


@message(139)
class RolledBack(NamedTuple):
    """A recovery may have lost entries: every program here gets this incarnation."""

    incarnation: int


@message(140)
class ChildOpened(NamedTuple):
    """A sub-agent program was opened under this program."""

    program: str
    child: str


@message(141)
class GrantForfeited(NamedTuple):
    """After a recovery that may have lost entries, a partition's whole grant counts as spent.

    :param granted: all that the store ever granted this partition.
    :param returned: all that the store ever took back.
    """

    budget: str
    granted: int
    returned: int
    incarnation: int


Entry = (
    ProgramOpened
    | CallIntended
    | CallFinished
    | CallWithdrawn
    | ProgramEnded
    | ProgramForgotten
    | CacheHeld
    | GrantAdded
    | GrantReturning
    | GrantForfeited
    | RolledBack
    | ChildOpened
)
