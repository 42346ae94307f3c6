"""Journal entries that finish calls without an answer. Their whole reservation counts as spent."""

from __future__ import annotations

from bramleylead.process.journal._entries import CallFinished
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import ProgramState


def unknown_outcome_entry(program: ProgramState, number: int, *, now_s: float) -> CallFinished:
    """Finish a non-repeatable call whose intent was journaled by a previous owner."""
    target = program.calls[number].target
    detail = (
        f"call {program.program}/{number} to {target} was sent by a previous owner and its outcome "
        "is unknown; it will not be sent again"
    )
    return _unanswered_entry(program, number, CallStatus.UNKNOWN, detail, now_s=now_s)


def interrupted_entry(program: ProgramState, number: int, *, now_s: float) -> CallFinished:
    """Finish a call that an owner change interrupted; whether it ran is unknown."""
    status = CallStatus.FAILED if program.calls[number].repeatable else CallStatus.UNKNOWN
    detail = f"call {program.program}/{number} was interrupted by an owner change"
    return _unanswered_entry(program, number, status, detail, now_s=now_s)


def cancelled_entry(
    program: ProgramState, number: int, *, endpoint: str, now_s: float
) -> CallFinished:
    """Finish a call that was cancelled while it ran at an endpoint."""
    entry = _unanswered_entry(program, number, CallStatus.FAILED, "cancelled", now_s=now_s)
    return entry._replace(endpoint=endpoint)


def _unanswered_entry(
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
