"""What a caller of a trial has seen of its program and of its calls."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

import anyio

from bramleylead.request import AnswerChunk
from bramleylead.request import AnswerStart
from bramleylead.trials._program_plan import Plan


class ProgramEnd(StrEnum):
    """How a program ended for its caller; cut off if the trial ended first."""

    CUT_OFF = "cut off"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Observed:
    """What one caller saw.

    :param is_released: whether the program was ended, so that its caches are to be released.
    :param refusals: calls that were answered "not run", by ``program/number`` and key.
    :param call_s: for each call, its time over all tries.
    :param call_waits_s: for each call, the longest wait for its next new character or its end.
    """

    plan: Plan
    end: ProgramEnd = ProgramEnd.CUT_OFF
    reason: str = ""
    is_released: bool = False
    started_s: float = 0.0
    ended_s: float = 0.0
    messages: list[tuple[str, str]] = field(default_factory=list)
    rolled_back: bool = False
    not_durable: bool = False
    answered_tools: list[str] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)
    unknown: list[str] = field(default_factory=list)
    call_s: list[float] = field(default_factory=list)
    call_started_s: list[float] = field(default_factory=list)
    call_waits_s: list[float] = field(default_factory=list)


class Received:
    """The characters that one try has brought."""

    def __init__(self) -> None:
        self.text = ""

    def take(self, item: AnswerStart | AnswerChunk) -> None:
        """Replace the text from an item's offset on by its characters."""
        if isinstance(item, AnswerChunk):
            self.text = self.text[: item.offset] + item.text


class Waits:
    """How long a caller waited for new characters of one call, over all its tries."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._length = 0
        self._last_s = anyio.current_time()

    def note_length(self, length: int) -> None:
        """Take in that so many characters are there; a later try may bring old ones again."""
        if length > self._length:
            self._length = length
            self.note_end()

    def note_end(self) -> None:
        """Take in something new."""
        now = anyio.current_time()
        self.longest_s = max(self.longest_s, now - self._last_s)
        self._last_s = now
