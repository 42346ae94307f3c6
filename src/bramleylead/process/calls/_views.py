"""A program and its calls as callers and operators may see them."""

from __future__ import annotations

from typing import Any

from bramleylead.process.journal._state import CallRecord
from bramleylead.process.journal._state import ProgramState
from bramleylead.request import ProgramView


def plain_record(record: CallRecord) -> dict[str, Any]:
    """Return a call without its content, for the state dump."""
    shown = ("status", "call_kind", "target", "repeatable", "finish", "spent", "reserved")
    counts = ("prompt_tokens", "cached_tokens", "output_tokens")
    plain = {name: getattr(record, name) for name in (*shown, *counts)}
    return {**plain, "endpoint": record.endpoint} if record.endpoint else plain


def view(program: ProgramState, *, history: bool) -> ProgramView:
    """Return a program's state as its caller may see it."""
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
