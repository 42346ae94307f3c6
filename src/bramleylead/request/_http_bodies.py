"""Bodies and headers of callers' requests, validated before the request is processed."""

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
from bramleylead.validation import Name
from bramleylead.validation import Strict

MAX_DEADLINE_S = 86_400.0
MAX_KEY_CHARACTERS = 200
MAX_MESSAGES = 10_000
MAX_TEXT_PARTS = 1_000
PROGRAM_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$"
NUMBER_PATTERN = r"[0-9]{1,9}"
SECONDS_PATTERN = r"[0-9]{1,6}(\.[0-9]{1,6})?"
HISTORY_CHOICES = ("append", "whole")
UNSUPPORTED_FIELDS = ("tools", "tool_choice", "functions", "response_format", "logprobs", "audio")

ProgramId = Annotated[str, Field(pattern=PROGRAM_PATTERN)]


class TextPart(BaseModel):
    """One part of a message's content; only text is supported."""

    model_config = ConfigDict(strict=True)

    type: Literal["text"]
    text: str


TextParts = Annotated[list[TextPart], Field(max_length=MAX_TEXT_PARTS, fail_fast=True)]


class ChatMessage(BaseModel):
    """One message of a chat-completions request."""

    model_config = ConfigDict(strict=True)

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | TextParts | None = None

    @property
    def text(self) -> str:
        """The content as one string."""
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


class ChatBody(BaseModel):
    """A chat-completions request.

    Its lists are bounded and their validation stops at the first error. Otherwise formatting the
    errors of a body with a million invalid parts would block the node, including its heartbeats.

    Sampling parameters are accepted, because ordinary clients send them, but ignored. Parameters
    that would change the format of the answer are refused.
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
    def _refuse_unsupported_fields(self) -> ChatBody:
        for name in UNSUPPORTED_FIELDS:
            if (self.model_extra or {}).get(name):
                raise ValueError(f"{name}: not supported, tools run as separate calls")
        return self

    @property
    def role_text_pairs(self) -> tuple[tuple[str, str], ...]:
        """The messages as pairs of role and text."""
        return tuple((item.role, item.text) for item in self.messages)

    @property
    def output_limit(self) -> int:
        """Maximum number of tokens to generate; 0 means the program kind's limit."""
        return self.max_completion_tokens or self.max_tokens or 0


class OpenProgramBody(Strict):
    """The body of ``POST /v1/programs``; every field is optional."""

    program: ProgramId | None = None
    kind: Name | None = None
    parent: ProgramId | None = None


class ToolBody(BaseModel):
    """The arguments of a tool call: any JSON object."""

    model_config = ConfigDict(strict=True, extra="allow")

    @property
    def arguments(self) -> dict[str, Any]:
        """The JSON object as a dict."""
        return dict(self.model_extra or {})


class CallHeaders(NamedTuple):
    """The parsed headers of a call; an absent header is empty or 0."""

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
    """Parse the headers that identify a call and its program.

    :param path_program: the program named in the request path; overrides the header.
    """
    errors: list[str] = []

    def read_header(name: str, pattern: str, allowed: str, default: str) -> str:
        value = headers.get(name.lower(), default)
        if value == default or re.fullmatch(pattern, value):
            return value
        errors.append(f"{name}: {value[:MAX_KEY_CHARACTERS]}: must be {allowed}")
        return default

    key_pattern = rf"[\x20-\x7e]{{1,{MAX_KEY_CHARACTERS}}}"
    parsed = CallHeaders(
        program=path_program
        or read_header("Bramleylead-Program", PROGRAM_PATTERN, f"like {PROGRAM_PATTERN}", ""),
        number=int(read_header("Bramleylead-Call", NUMBER_PATTERN, "a whole number", "0")),
        key=read_header("Idempotency-Key", key_pattern, f"1 to {MAX_KEY_CHARACTERS} ASCII", ""),
        incarnation=int(
            read_header("Bramleylead-Incarnation", NUMBER_PATTERN, "a whole number", "0")
        ),
        deadline_s=float(read_header("Bramleylead-Deadline-S", SECONDS_PATTERN, "seconds", "0")),
        whole_history=_read_history_mode(read_header),
        kind=read_header("Bramleylead-Kind", PROGRAM_PATTERN, "a program kind's name", ""),
    )
    if parsed.deadline_s > MAX_DEADLINE_S:
        errors.append(f"Bramleylead-Deadline-S: {parsed.deadline_s:g}: at most {MAX_DEADLINE_S:g}")
    if parsed.number and not parsed.program:
        errors.append("Bramleylead-Program: missing: must be given with Bramleylead-Call")
    if errors:
        return Err(Failure(ErrorKind.MALFORMED, "headers: " + "; ".join(errors)))
    return Ok(parsed._replace(deadline_s=parsed.deadline_s or default_deadline_s))


def _read_history_mode(read_header: Any) -> bool:
    choices = "|".join(HISTORY_CHOICES)
    return (
        read_header("Bramleylead-History", choices, " or ".join(HISTORY_CHOICES), "whole")
        == "whole"
    )
