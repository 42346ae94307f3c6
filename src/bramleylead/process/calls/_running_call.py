"""The state of one call while it runs."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

import anyio

from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.process.journal._state import ProgramState
from bramleylead.request import AnswerBuffer
from bramleylead.request import CallRequest
from bramleylead.version import Branch
from bramleylead.version import ProgramKind


@dataclass(slots=True)
class RunningCall:
    """State of one call while it runs.

    :param history_length: number of the program's messages when the call started.
    :param sent: whether any byte of the call may have reached an endpoint.
    :param rerun: whether the journal holds an earlier run of the call, which may have been sent.
    """

    log: PartitionLog
    program: ProgramState
    branch: Branch
    kind: ProgramKind
    request: CallRequest
    number: int
    digest: str
    repeatable: bool
    messages: tuple[tuple[str, str], ...]
    deadline_at: float
    history_length: int
    buffer: AnswerBuffer = field(default_factory=AnswerBuffer)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    sent: bool = False
    intent_journaled: bool = False
    rerun: bool = False
    avoided_endpoints: list[str] = field(default_factory=list)
    started_at: float = 0.0
    endpoint: str = ""

    @property
    def name(self) -> str:
        """``program/number``, which identifies the call to endpoints."""
        return f"{self.program.program}/{self.number}"

    @property
    def seconds_left(self) -> float:
        """Time until the caller's deadline."""
        return self.deadline_at - anyio.current_time()
