"""Decides whether a call request is refused, answered from the journal, joined or run."""

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
    """Run the call under this number, ``again`` after an unfinished or failed attempt.

    :param digest: of the request; its messages may be a long history, so it is taken once.
    """

    number: int
    again: bool
    digest: str


class Recorded(NamedTuple):
    """Answer from the journal."""

    record: CallRecord


class Join(NamedTuple):
    """Follow the call that runs under this number."""

    number: int


Decision = Start | Recorded | Join | Failure


def decide(
    program: ProgramState,
    request: CallRequest,
    *,
    repeatable: bool,
    running: dict[int, str],
) -> Decision:
    """Decide on a request.

    :param running: digests of the program's calls that run on this node, by number.
    """
    if not _incarnation_known(program, request):
        return _rolled_back(program, request, repeatable=repeatable, running=running)
    number = _number(program, request)
    digest = request_digest(request)
    if number in running:
        return Join(number) if running[number] == digest else _mismatch(program, number)
    record = program.calls.get(number)
    if record is not None:
        return _decide_known(program, record, digest)
    if program.ended:
        return Failure(ErrorKind.PROGRAM_ENDED, f"program {program.program} ended: {program.ended}")
    if running or number != program.last_number + 1:
        return _out_of_order(program, number, running)
    return Start(number, again=False, digest=digest)


def request_digest(request: CallRequest) -> str:
    """Hash what a call asks for, to tell a retry from another call under the same number.

    The messages are packed as they are, which takes a fraction of the time of JSON; arguments may
    come with their keys in another order.
    """
    arguments = json.dumps(request.arguments, sort_keys=True, separators=(",", ":"))
    body = [request.call_kind.value, request.target, request.messages, arguments]
    packed = msgpack.packb(body, unicode_errors="surrogatepass")
    return hashlib.blake2b(packed, digest_size=DIGEST_BYTES).hexdigest()


def new_messages(
    program: ProgramState, request: CallRequest
) -> tuple[tuple[str, str], ...] | Failure:
    """Return the messages that the call adds to the program's history.

    A request that carries the whole history must begin with the history that the program has.
    """
    if not request.whole_history:
        return request.messages
    known = tuple(program.messages)
    if request.messages[: len(known)] == known and len(request.messages) > len(known):
        return request.messages[len(known) :]
    detail = (
        f"program {program.program}: messages must begin with the {len(known)} messages of its "
        "history and add at least one; send only new messages with history mode 'append'"
    )
    return Failure(ErrorKind.MALFORMED, detail)


def check_limits(
    program: ProgramState, kind: ProgramKind, *, prompt_tokens: int, now_s: float
) -> Failure | None:
    """Return why a program may start no further call, if so."""
    name = program.program
    if program.last_number >= kind.max_turns:
        return Failure(ErrorKind.LIMIT_REACHED, f"program {name}: {kind.max_turns} turns are used")
    if prompt_tokens > kind.max_tokens:
        detail = f"program {name}: history of {prompt_tokens} tokens; at most {kind.max_tokens}"
        return Failure(ErrorKind.LIMIT_REACHED, detail)
    if now_s - program.opened_at_s > kind.max_wall_s:
        return Failure(ErrorKind.LIMIT_REACHED, f"program {name}: older than {kind.max_wall_s} s")
    return None


def estimate_tokens(messages: list[tuple[str, str]] | tuple[tuple[str, str], ...]) -> int:
    """Estimate the prompt's tokens from its characters, on the high side."""
    characters = sum(len(content) for _, content in messages)
    return characters // CHARACTERS_PER_TOKEN + MESSAGE_OVERHEAD_TOKENS * len(messages) + 1


def recorded_end(
    program: ProgramState, record: CallRecord, *, durable: bool
) -> AnswerEnd | Failure:
    """Return the end of an answer that the journal holds."""
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
    return Failure(ErrorKind.OUTCOME_UNKNOWN, record.answer or _unknown_detail(program, record))


def _incarnation_known(program: ProgramState, request: CallRequest) -> bool:
    if request.incarnation == 0:
        return program.incarnation == FIRST_INCARNATION
    return request.incarnation == program.incarnation


def _rolled_back(
    program: ProgramState,
    request: CallRequest,
    *,
    repeatable: bool,
    running: dict[int, str],
) -> Decision:
    """Answer a caller that has not seen that entries may be lost.

    A call that may not be repeated and is not in the journal could have run before the loss.
    """
    known = program.calls.get(request.number)
    if known is not None and known.digest == request_digest(request):
        if known.number in running:
            return Join(known.number)
        return _decide_known(program, known, known.digest)
    detail = (
        f"program {program.program}: incarnation is {program.incarnation}, the call says "
        f"{request.incarnation}; its last call is {program.last_number}"
    )
    if repeatable:
        return Failure(ErrorKind.HISTORY_ROLLED_BACK, detail)
    return Failure(ErrorKind.OUTCOME_UNKNOWN, detail)


def _number(program: ProgramState, request: CallRequest) -> int:
    if request.number > 0:
        return request.number
    for record in program.calls.values():
        if request.key and record.key == request.key:
            return record.number
    return program.last_number + 1


def _decide_known(program: ProgramState, record: CallRecord, digest: str) -> Decision:
    if record.digest != digest:
        return _mismatch(program, record.number)
    if record.status in (CallStatus.DONE, CallStatus.UNKNOWN):
        return Recorded(record)
    last = record.number == max(program.calls)
    if record.repeatable and last and not program.ended:
        return Start(record.number, again=True, digest=digest)
    return Recorded(record)


def _mismatch(program: ProgramState, number: int) -> Failure:
    detail = f"program {program.program}: call {number} was made with another request"
    return Failure(ErrorKind.DUPLICATE_MISMATCH, detail)


def _out_of_order(program: ProgramState, number: int, running: dict[int, str]) -> Failure:
    if running:
        state = f"call {max(running)} is running"
    else:
        state = f"the next call is {program.last_number + 1}"
    return Failure(
        ErrorKind.OUT_OF_ORDER, f"program {program.program}: call {number} was asked for, {state}"
    )


def _unknown_detail(program: ProgramState, record: CallRecord) -> str:
    return (
        f"call {program.program}/{record.number} of {record.target} was sent and its outcome is "
        "not known; it will not be sent again"
    )
