"""Bodies and headers of callers' requests, checked before anything else happens."""

from __future__ import annotations

import re
from typing import Annotated
from typing import Any
from typing import Literal
from typing import NamedTuple

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import model_validator
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.version._schema import Name
from bramleylead.version._schema import Strict

MAX_DEADLINE_S = 86_400.0
MAX_KEY_CHARACTERS = 200
MAX_MESSAGES = 10_000
MAX_PARTS = 1_000
PROGRAM_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$"
NUMBER_PATTERN = r"[0-9]{1,9}"
SECONDS_PATTERN = r"[0-9]{1,6}(\.[0-9]{1,6})?"
HISTORY_CHOICES = ("append", "whole")
NOT_SERVED = ("tools", "tool_choice", "functions", "response_format", "logprobs", "audio")

ProgramId = Annotated[str, Field(pattern=PROGRAM_PATTERN)]


class TextPart(BaseModel):
    """One part of a message's content; only text is served."""

    model_config = ConfigDict(strict=True)

    type: Literal["text"]
    text: str


TextParts = Annotated[list[TextPart], Field(max_length=MAX_PARTS, fail_fast=True)]


class ChatMessage(BaseModel):
    """One message, as chat-completions clients send it."""

    model_config = ConfigDict(strict=True)

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | TextParts | None = None

    @property
    def text(self) -> str:
        """The content as one text."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class ChatBody(BaseModel):
    """A chat-completions request.

    Its lists are bounded and end at their first fault: a body of a million faulty parts would
    otherwise hold up the node, and with it its heartbeats, while the faults are worded.

    Sampling parameters are accepted, since ordinary clients send them, and not passed on; what
    would change the shape of the answer is refused.
    """

    model_config = ConfigDict(strict=True, extra="allow")

    model: Name
    messages: Annotated[
        list[ChatMessage], Field(min_length=1, max_length=MAX_MESSAGES, fail_fast=True)
    ]
    stream: bool = False
    n: Literal[1, None] = None
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    max_completion_tokens: Annotated[int, Field(ge=1)] | None = None

    @model_validator(mode="after")
    def _refuse_what_is_not_served(self) -> ChatBody:
        for name in NOT_SERVED:
            if (self.model_extra or {}).get(name):
                raise ValueError(f"{name}: not served, tools run as calls of their own")
        return self

    @property
    def pairs(self) -> tuple[tuple[str, str], ...]:
        """The messages as role and text."""
        return tuple((item.role, item.text) for item in self.messages)

    @property
    def output_limit(self) -> int:
        """Most tokens to generate; 0 takes the program kind's limit."""
        return self.max_completion_tokens or self.max_tokens or 0


class OpenProgramBody(Strict):
    """The body of ``POST /v1/programs``; every field may be left out."""

    program: ProgramId | None = None
    kind: Name | None = None
    parent: ProgramId | None = None


class ToolBody(BaseModel):
    """The arguments of a tool call: any JSON object."""

    model_config = ConfigDict(strict=True, extra="allow")

    @property
    def arguments(self) -> dict[str, Any]:
        """The object itself."""
        return dict(self.model_extra or {})


class CallHeaders(NamedTuple):
    """What the headers of a call say; empty or 0 where they say nothing."""

    program: str
    number: int
    key: str
    incarnation: int
    deadline_s: float
    whole_history: bool
    kind: str


def read_call_headers(
    headers: dict[str, str], *, default_deadline_s: float, path_program: str = ""
) -> Result[CallHeaders, Failure]:
    """Read the headers that place a call in a program.

    :param path_program: the program that the request's path names; it goes before the header.
    """
    faults: list[str] = []

    def take(name: str, pattern: str, allowed: str, default: str) -> str:
        value = headers.get(name.lower(), default)
        if value == default or re.fullmatch(pattern, value):
            return value
        faults.append(f"{name}: {value[:MAX_KEY_CHARACTERS]}: must be {allowed}")
        return default

    key_pattern = rf"[\x20-\x7e]{{1,{MAX_KEY_CHARACTERS}}}"
    found = CallHeaders(
        program=path_program
        or take("Bramleylead-Program", PROGRAM_PATTERN, f"like {PROGRAM_PATTERN}", ""),
        number=int(take("Bramleylead-Call", NUMBER_PATTERN, "a whole number", "0")),
        key=take("Idempotency-Key", key_pattern, f"1 to {MAX_KEY_CHARACTERS} ASCII", ""),
        incarnation=int(take("Bramleylead-Incarnation", NUMBER_PATTERN, "a whole number", "0")),
        deadline_s=float(take("Bramleylead-Deadline-S", SECONDS_PATTERN, "seconds", "0")),
        whole_history=_take_history(take),
        kind=take("Bramleylead-Kind", PROGRAM_PATTERN, "a program kind's name", ""),
    )
    if found.deadline_s > MAX_DEADLINE_S:
        faults.append(f"Bramleylead-Deadline-S: {found.deadline_s:g}: at most {MAX_DEADLINE_S:g}")
    if found.number and not found.program:
        faults.append("Bramleylead-Program: missing: must be given with Bramleylead-Call")
    if faults:
        return Err(Failure(ErrorKind.MALFORMED, "headers: " + "; ".join(faults)))
    return Ok(found._replace(deadline_s=found.deadline_s or default_deadline_s))


def _take_history(take: Any) -> bool:
    choices = "|".join(HISTORY_CHOICES)
    return take("Bramleylead-History", choices, " or ".join(HISTORY_CHOICES), "whole") == "whole"
