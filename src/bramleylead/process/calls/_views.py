"""Views of programs and calls for callers and operators."""

from __future__ import annotations

from typing import Any

from bramleylead.process.journal._state import CallRecord
from bramleylead.process.journal._state import ProgramState
from bramleylead.request import ProgramView


def call_summary(record: CallRecord) -> dict[str, Any]:
    """Return a call's fields for the state dump, without its content."""
    attributes = ("status", "call_kind", "target", "repeatable", "finish", "spent", "reserved")
    counts = ("prompt_tokens", "cached_tokens", "output_tokens")
    summary = {name: getattr(record, name) for name in (*attributes, *counts)}
    return {**summary, "endpoint": record.endpoint} if record.endpoint else summary


def program_view(program: ProgramState, *, history: bool) -> ProgramView:
    """Return the part of a program's state that its caller may see."""
    calls = tuple(
        (call.number, call.call_kind.value, call.target, call.status.value, call.answer)
        for call in program.calls.values()
    )
    return ProgramView(
        program=program.program,
        branch=program.branch,
        kind=program.kind,
        parent=program.parent,
        incarnation=program.incarnation,
        next_number=program.last_number + 1,
        tokens_used=program.tokens_used,
        ended=program.ended,
        messages=tuple(program.messages) if history else (),
        calls=calls if history else (),
    )
