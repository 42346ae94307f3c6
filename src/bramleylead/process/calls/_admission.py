"""Decides whether to run a call, join a running one, answer from the journal or reject it."""

from __future__ import annotations

import hashlib
import json
from typing import NamedTuple

import msgpack

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process.journal._state import FIRST_INCARNATION
from bramleylead.process.journal._state import CallRecord
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import ProgramState
from bramleylead.request import AnswerEnd
from bramleylead.request import CallRequest
from bramleylead.version import ProgramKind

CHARACTERS_PER_TOKEN = 4
MESSAGE_OVERHEAD_TOKENS = 4
DIGEST_BYTES = 16


class Start(NamedTuple):
    """Run the call under this number.

    :param rerun: whether the journal holds an interrupted or failed run of the call.
    :param digest: digest of the request. It is computed only once, since the messages may be a long
        history.
    """

    number: int
    rerun: bool
    digest: str


class Recorded(NamedTuple):
    """Return the outcome that the journal holds."""

    record: CallRecord


class Join(NamedTuple):
    """Attach to the call that is running under this number."""

    number: int


Decision = Start | Recorded | Join | Failure


def decide(
    program: ProgramState,
    request: CallRequest,
    *,
    repeatable: bool,
    running: dict[int, str],
) -> Decision:
    """Decide how to handle a request.

    :param running: request digests, by call number, of the program's calls running on this node.
    """
    if not _incarnation_matches(program, request):
        return _decide_after_rollback(program, request, repeatable=repeatable, running=running)
    number = _resolve_number(program, request)
    digest = request_digest(request)
    if number in running:
        return Join(number) if running[number] == digest else _mismatch(program, number)
    record = program.calls.get(number)
    if record is not None:
        return _decide_recorded(program, record, digest)
    if program.ended:
        return Failure(ErrorKind.PROGRAM_ENDED, f"program {program.program} ended: {program.ended}")
    if running or number != program.last_number + 1:
        return _out_of_order(program, number, running)
    return Start(number, rerun=False, digest=digest)


def request_digest(request: CallRequest) -> str:
    """Hash a request's content, to tell a retry from a different call under the same number.

    The messages are packed with msgpack, which takes a fraction of the time of JSON. The arguments
    are serialized with sorted keys, since a retry may send its keys in another order.
    """
    arguments = json.dumps(request.arguments, sort_keys=True, separators=(",", ":"))
    body = [request.call_kind.value, request.target, request.messages, arguments]
    packed_body = msgpack.packb(body, unicode_errors="surrogatepass")
    return hashlib.blake2b(packed_body, digest_size=DIGEST_BYTES).hexdigest()


def new_messages(
    program: ProgramState, request: CallRequest
) -> tuple[tuple[str, str], ...] | Failure:
    """Return the messages that the call adds to the program's history.

    A request that carries the whole history must begin with the program's recorded history.
    """
    if not request.whole_history:
        return request.messages
    history = tuple(program.messages)
    if request.messages[: len(history)] == history and len(request.messages) > len(history):
        return request.messages[len(history) :]
    detail = (
        f"program {program.program}: messages must begin with the {len(history)} messages of its "
        "history and add at least one; send only new messages with history mode 'append'"
    )
    return Failure(ErrorKind.MALFORMED, detail)


def check_limits(
    program: ProgramState, kind: ProgramKind, *, prompt_tokens: int, now_s: float
) -> Failure | None:
    """Return a failure if the program has reached one of its kind's limits."""
    name = program.program
    if program.last_number >= kind.max_turns:
        return Failure(ErrorKind.LIMIT_REACHED, f"program {name}: used all {kind.max_turns} turns")
    if prompt_tokens > kind.max_tokens:
        detail = f"program {name}: prompt of {prompt_tokens} tokens exceeds {kind.max_tokens}"
        return Failure(ErrorKind.LIMIT_REACHED, detail)
    if now_s - program.opened_at_s > kind.max_wall_s:
        return Failure(ErrorKind.LIMIT_REACHED, f"program {name}: older than {kind.max_wall_s} s")
    return None


def estimate_tokens(messages: list[tuple[str, str]] | tuple[tuple[str, str], ...]) -> int:
    """Estimate the number of tokens from the number of characters, preferring too many."""
    characters = sum(len(content) for _, content in messages)
    return characters // CHARACTERS_PER_TOKEN + MESSAGE_OVERHEAD_TOKENS * len(messages) + 1


def recorded_outcome(
    program: ProgramState, record: CallRecord, *, durable: bool
) -> AnswerEnd | Failure:
    """Return the outcome of a call from its journal record."""
    if record.status is CallStatus.DONE:
        return AnswerEnd(
            number=record.number,
            incarnation=program.incarnation,
            length=len(record.answer),
            finish=record.finish,
            prompt_tokens=record.prompt_tokens,
            cached_tokens=record.cached_tokens,
            output_tokens=record.output_tokens,
            endpoint=record.endpoint,
            durable=durable,
            value=record.value,
        )
    if record.status is CallStatus.FAILED:
        return Failure(ErrorKind.ENDPOINT_FAILED, record.answer)
    return Failure(
        ErrorKind.OUTCOME_UNKNOWN, record.answer or _unknown_outcome_detail(program, record)
    )


def _incarnation_matches(program: ProgramState, request: CallRequest) -> bool:
    if request.incarnation == 0:
        return program.incarnation == FIRST_INCARNATION
    return request.incarnation == program.incarnation


def _decide_after_rollback(
    program: ProgramState,
    request: CallRequest,
    *,
    repeatable: bool,
    running: dict[int, str],
) -> Decision:
    """Decide on a request with an outdated incarnation: journal entries may have been lost since.

    The outcome of a non-repeatable call that is not in the journal is unknown, since the call may
    have run before the loss.
    """
    record = program.calls.get(request.number)
    if record is not None and record.digest == request_digest(request):
        if record.number in running:
            return Join(record.number)
        return _decide_recorded(program, record, record.digest)
    detail = (
        f"program {program.program}: incarnation is {program.incarnation}, but the call has "
        f"{request.incarnation}; the last journaled call is {program.last_number}"
    )
    if repeatable:
        return Failure(ErrorKind.HISTORY_ROLLED_BACK, detail)
    return Failure(ErrorKind.OUTCOME_UNKNOWN, detail)


def _resolve_number(program: ProgramState, request: CallRequest) -> int:
    if request.number > 0:
        return request.number
    for record in program.calls.values():
        if request.key and record.key == request.key:
            return record.number
    return program.last_number + 1


def _decide_recorded(program: ProgramState, record: CallRecord, digest: str) -> Decision:
    if record.digest != digest:
        return _mismatch(program, record.number)
    if record.status in (CallStatus.DONE, CallStatus.UNKNOWN):
        return Recorded(record)
    is_last = record.number == max(program.calls)
    if record.repeatable and is_last and not program.ended:
        return Start(record.number, rerun=True, digest=digest)
    return Recorded(record)


def _mismatch(program: ProgramState, number: int) -> Failure:
    detail = f"program {program.program}: call {number} was already made with a different request"
    return Failure(ErrorKind.DUPLICATE_MISMATCH, detail)


def _out_of_order(program: ProgramState, number: int, running: dict[int, str]) -> Failure:
    if running:
        state = f"call {max(running)} is running"
    else:
        state = f"the next call is {program.last_number + 1}"
    return Failure(
        ErrorKind.OUT_OF_ORDER, f"program {program.program}: call {number} was requested, {state}"
    )


def _unknown_outcome_detail(program: ProgramState, record: CallRecord) -> str:
    return (
        f"call {program.program}/{record.number} to {record.target} was sent and its outcome is "
        "unknown; it will not be sent again"
    )
