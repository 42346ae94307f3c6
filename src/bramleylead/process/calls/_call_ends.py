"""Journal entries that end calls which got no answer. Their whole reservation counts as spent."""

from __future__ import annotations

from bramleylead.process.journal._entries import CallFinished
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import ProgramState


def unknown_end(program: ProgramState, number: int, *, now_s: float) -> CallFinished:
    """End a call that may not be repeated and was intended by a former owner."""
    target = program.calls[number].target
    detail = (
        f"call {program.program}/{number} of {target} was sent by a former owner and its outcome "
        "is not known; it will not be sent again"
    )
    return _cut_short(program, number, CallStatus.UNKNOWN, detail, now_s=now_s)


def interrupted_end(program: ProgramState, number: int, *, now_s: float) -> CallFinished:
    """End a call that a change of owner cut short; nothing says whether it ran."""
    status = CallStatus.FAILED if program.calls[number].repeatable else CallStatus.UNKNOWN
    detail = f"call {program.program}/{number} was interrupted by a change of owner"
    return _cut_short(program, number, status, detail, now_s=now_s)


def cancelled_end(
    program: ProgramState, number: int, *, endpoint: str, now_s: float
) -> CallFinished:
    """End a call that was cancelled at an endpoint."""
    ended = _cut_short(program, number, CallStatus.FAILED, "cancelled", now_s=now_s)
    return ended._replace(endpoint=endpoint)


def _cut_short(
    program: ProgramState, number: int, status: CallStatus, answer: str, *, now_s: float
) -> CallFinished:
    return CallFinished(
        program=program.program,
        number=number,
        status=status.value,
        answer=answer,
        value=None,
        finish="",
        prompt_tokens=0,
        cached_tokens=0,
        output_tokens=0,
        endpoint="",
        spent=program.calls[number].reserved,
        at_s=now_s,
    )
