"""States and entries of made-up programs for the capacity bench, and what they weigh."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from bramleylead.process.journal._entries import CallFinished
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._entries import ProgramOpened
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import PartitionState
from bramleylead.process.journal._state_codec import pack_entry
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import unpack_entry
from bramleylead.process.journal._state_codec import unpack_state
from bramleylead.request import CallKind
from bramleylead.request import CallRequest

CHARACTERS_A_TOKEN = 4
BRANCH = "branch-007"
KIND = "assistant"
MODEL = "model-03"
BUDGET = "budget-007"


class Shape(NamedTuple):
    """A partition's load: programs, turns of each, and tokens of prompt and answer a turn."""

    programs: int
    turns: int
    tokens: int

    @property
    def text_bytes(self) -> int:
        """Bytes of all messages, one byte a character."""
        return self.programs * self.turns * self.tokens * CHARACTERS_A_TOKEN


def program_name(number: int) -> str:
    """Return a name as long as callers give."""
    return f"program-{number:08d}"


def text(tokens: int, *, seed: int) -> str:
    """Return a text of its own, so that no two share their memory."""
    return f"{seed:08d}".ljust(tokens * CHARACTERS_A_TOKEN, "x")


def opened(number: int) -> ProgramOpened:
    """Return the entry that opens a program."""
    return ProgramOpened(program_name(number), BRANCH, KIND, "", 0.0)


def turn(number: int, call: int, tokens: int) -> tuple[CallIntended, CallFinished]:
    """Return both entries of one model call, its text half prompt and half answer."""
    program = program_name(number)
    half = tokens // 2
    seed = number * 1_000 + call
    intended = CallIntended(
        program=program,
        number=call,
        key="",
        digest=f"{seed:032d}",
        call_kind=CallKind.MODEL,
        target=MODEL,
        repeatable=True,
        budget=BUDGET,
        reserved=5_000,
        messages=(("user", text(half, seed=seed)),),
        at_s=float(call),
        endpoint="engine-0",
    )
    finished = CallFinished(
        program=program,
        number=call,
        status=CallStatus.DONE.value,
        answer=text(tokens - half, seed=seed),
        value=None,
        finish="stop",
        prompt_tokens=tokens * call,
        cached_tokens=tokens * (call - 1),
        output_tokens=tokens - half,
        endpoint="engine-0",
        spent=4_000,
        at_s=float(call),
    )
    return intended, finished


def fill(shape: Shape, through: Callable[[Entry], Entry] = lambda entry: entry) -> PartitionState:
    """Return the state that a shape's entries add up to.

    :param through: what an entry passes before it is applied.
    """
    state = PartitionState()
    for number in range(shape.programs):
        state.apply(through(opened(number)))
        for call in range(1, shape.turns + 1):
            for entry in turn(number, call, shape.tokens):
                state.apply(through(entry))
    return state


def fill_as_second(shape: Shape) -> PartitionState:
    """Return the state as a second copy builds it, from entries that travelled."""
    return fill(shape, lambda entry: unpack_entry(pack_entry(entry)))


def fill_from_snapshot(shape: Shape) -> PartitionState:
    """Return the state as a new second copy has it, from a snapshot."""
    return unpack_state(pack_state(fill(shape)))


COPIES: dict[str, Callable[[Shape], PartitionState]] = {
    "owner": fill,
    "second": fill_as_second,
    "restored": fill_from_snapshot,
}


def memory_bytes(build: Callable[[], Any]) -> int:
    """Return what the result of ``build`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = build()
        gc.collect()
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del kept
    return size


def call_request(
    state: PartitionState, number: int, *, tokens: int, whole_history: bool
) -> CallRequest:
    """Return the next model call of a program, with its whole history or with what is new."""
    program = state.programs[program_name(number)]
    new = (("user", text(tokens // 2, seed=number)),)
    return CallRequest(
        branch=BRANCH,
        program=program.program,
        number=program.last_number + 1,
        incarnation=0,
        key="",
        call_kind=CallKind.MODEL,
        target=MODEL,
        messages=(*program.messages, *new) if whole_history else new,
        whole_history=whole_history,
        arguments={},
        max_tokens=200,
        deadline_s=60.0,
    )
