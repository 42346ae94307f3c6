"""Entries of a partition's journal. Both copies apply them in order to the same state."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from bramleylead.connection import message
from bramleylead.request import CallKind


@message(130)
class ProgramOpened(NamedTuple):
    """A program was opened. ``at_s`` is wall-clock time in seconds.

    :param attained: cost already counted as served; a sub-agent starts with its parent's value.
    """

    program: str
    branch: str
    kind: str
    parent: str
    at_s: float
    attained: float = 0.0


@message(131)
class CallIntended(NamedTuple):
    """A call is about to be sent; after this entry it may have run.

    :param digest: hash of the request, to tell a retry from a different call under the same number.
    :param reserved: budget units reserved for the worst case.
    :param messages: the conversation's new messages.
    :param endpoint: endpoint of the first attempt. If it is an engine, it may hold a cache for the
        program even if the call fails.
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
    """A call ended: it is done, it failed, or its outcome will stay unknown.

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
    """A call certainly did not run: its number and its reservation are free again."""

    program: str
    number: int


@message(134)
class ProgramEnded(NamedTuple):
    """A program ended, with a human-readable reason."""

    program: str
    reason: str
    at_s: float


@message(135)
class ProgramForgotten(NamedTuple):
    """The record of an ended program was removed after its caches had been released."""

    program: str


@message(136)
class CacheHeld(NamedTuple):
    """An endpoint holds ``tokens`` of the program's prefix; 0 means that it released the cache."""

    program: str
    endpoint: str
    tokens: int


@message(137)
class GrantAdded(NamedTuple):
    """The store granted units of a budget to this partition.

    :param total: all units ever granted to this partition.
    :param limit: the budget's limit when the store was last read.
    """

    budget: str
    total: int
    limit: int = 0


@message(138)
class GrantReturning(NamedTuple):
    """Units are being returned to the store; the partition can no longer spend them."""

    budget: str
    units: int


@message(139)
class RolledBack(NamedTuple):
    """A recovery may have lost entries: every program of the partition gets this incarnation."""

    incarnation: int


@message(140)
class ChildOpened(NamedTuple):
    """A sub-agent program was opened under this program."""

    program: str
    child: str


@message(141)
class GrantForfeited(NamedTuple):
    """After a recovery that may have lost entries, the partition's whole grant counts as spent.

    :param granted: all units that the store ever granted to this partition.
    :param returned: all units that this partition ever returned to the store.
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
