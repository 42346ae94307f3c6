"""Messages between an entry node, which a caller connects to, and the owner of a program.

A program belongs to one branch. Every request names the branch whose key the caller sent, and the
owner checks it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any
from typing import NamedTuple

from bramleylead.connection import message


class CallKind(StrEnum):
    """Whether a call runs on a model or a tool."""

    MODEL = "model"
    TOOL = "tool"


@message(20)
class OpenProgram(NamedTuple):
    """Open a program; idempotent. Answered by :class:`ProgramView`.

    :param attained: for a sub-agent, the cost that its parent has been served so far; set by the
        entry node.
    """

    branch: str
    program: str
    kind: str
    parent: str = ""
    attained: float = 0.0


@message(21)
class CallRequest(NamedTuple):
    """Run a call. Answered by chunks and one :class:`AnswerEnd`.

    :param number: the call's number in the program, from 1; 0 means the next number.
    :param incarnation: the last program incarnation known to the caller; 0 if none.
    :param key: idempotency key; empty when the number identifies the call.
    :param target: model or tool.
    :param messages: ``[role, content]`` pairs of a model call.
    :param whole_history: whether ``messages`` begin with the program's history, as chat clients
        send it.
    :param arguments: JSON arguments of a tool call.
    :param deadline_s: how long the caller waits, in seconds.
    """

    branch: str
    program: str
    number: int
    incarnation: int
    key: str
    call_kind: CallKind
    target: str
    messages: tuple[tuple[str, str], ...]
    whole_history: bool
    arguments: dict[str, Any]
    max_tokens: int
    deadline_s: float


@message(22)
class ResumeCall(NamedTuple):
    """Request a running or finished call's answer again, from a character offset."""

    branch: str
    program: str
    number: int
    offset: int
    deadline_s: float


@message(30)
class AnswerStart(NamedTuple):
    """Optional first item of an answer, sent once the call is in the journal.

    It tells a caller that gave no call number which call to resume after a lost connection.
    """

    number: int
    incarnation: int


@message(23)
class AnswerChunk(NamedTuple):
    """Part of an answer; ``offset`` counts the characters of the whole answer before ``text``."""

    offset: int
    text: str
    tokens: int


@message(24)
class AnswerEnd(NamedTuple):
    """The end of a successful answer.

    :param length: characters in the whole answer; the received chunks must add up to it.
    :param durable: whether both copies of the journal hold the answer.
    :param value: JSON answer of a tool call.
    """

    number: int
    incarnation: int
    length: int
    finish: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    endpoint: str
    durable: bool
    value: Any = None


@message(25)
class ReadProgram(NamedTuple):
    """Read a program's state, optionally with its history. Answered by :class:`ProgramView`."""

    branch: str
    program: str
    history: bool


@message(26)
class EndProgram(NamedTuple):
    """End a program and its sub-agents. Answered by :class:`ProgramView`."""

    branch: str
    program: str


@message(27)
class ProgramView(NamedTuple):
    """A program's state as shown to its caller.

    :param calls: number, kind, target, status and answer text of each call.
    :param next_number: number of the next call.
    :param durable: whether both copies of the journal hold what is shown.
    """

    program: str
    branch: str
    kind: str
    parent: str
    incarnation: int
    next_number: int
    tokens_used: int
    ended: str
    messages: tuple[tuple[str, str], ...]
    calls: tuple[tuple[int, str, str, str, str], ...]
    durable: bool = True


@message(28)
class AddChild(NamedTuple):
    """Record a sub-agent program under its parent, so that it ends with the parent."""

    branch: str
    program: str
    child: str


@message(29)
class LivePrograms(NamedTuple):
    """Ask the owner which of these programs are live; answered by the same message."""

    partition: int
    programs: tuple[str, ...]
