"""Processor time of single steps of a call or a pass, for the capacity bench."""

from __future__ import annotations

import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from typing import final

import anyio
from aioprometheus import Registry
from result import Ok
from result import Result

from bramleylead.bench._capacity_state import BUDGET
from bramleylead.bench._capacity_state import KIND
from bramleylead.bench._capacity_state import MODEL
from bramleylead.bench._capacity_state import Shape
from bramleylead.bench._capacity_state import call_request
from bramleylead.bench._capacity_state import fill
from bramleylead.bench._capacity_state import program_name
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.errors import Failure
from bramleylead.platform import MemoryStore
from bramleylead.process.budgets._budget import BudgetEscrow
from bramleylead.process.calls import _admission
from bramleylead.process.calls._garbage_collection import PASS_INTERVAL_S
from bramleylead.process.calls._garbage_collection import ProgramGarbageCollector
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._entries import ProgramEnded
from bramleylead.process.journal._state import PartitionState
from bramleylead.promises import Promises
from bramleylead.request import AnswerBuffer
from bramleylead.request import AnswerChunk
from bramleylead.standins import run_virtual
from bramleylead.version import Budget
from bramleylead.version import Config
from bramleylead.version import ProgramKind

US = 1e6
LARGE_BUDGET = 10**12
PASSES = 20
ENDED_AT_S = 0.0


def cpu_us(run: Callable[[], Any], times: int) -> float:
    """Return the processor time of one run, in microseconds."""
    started = time.process_time()
    for _ in range(times):
        run()
    return (time.process_time() - started) / times * US


@final
class LocalLog:
    """A partition whose entries are applied at once, without a second copy."""

    def __init__(self, number: int, state: PartitionState) -> None:
        self.number = number
        self.state = state
        self.epoch = 1

    async def append(self, *entries: Entry) -> Result[bool, Failure]:
        """Apply the entries."""
        for entry in entries:
            self.state.apply(entry)
        return Ok(True)

    def has_valid_lease(self) -> bool:
        """Return that an act may start."""
        return True


def admission_us(turns: int, tokens: int, times: int, *, whole_history: bool) -> float:
    """Return what an owner spends to admit the next call of a program with so many turns."""
    state = fill(Shape(1, turns, tokens))
    program = state.programs[program_name(0)]
    request = call_request(state, 0, tokens=tokens, whole_history=whole_history)

    def admit() -> None:
        decision = _admission.decide(program, request, repeatable=True, running={})
        if not isinstance(decision, _admission.Start):
            raise TypeError(f"the call was not admitted: {decision}")
        messages = _admission.new_messages(program, request)
        if isinstance(messages, Failure):
            raise TypeError(f"the messages were refused: {messages}")
        _admission.estimate_tokens(messages)

    return cpu_us(admit, times)


def pass_us(shape: Shape, *, ended: bool) -> float:
    """Return what one pass of the ender costs for each program that needs nothing done."""
    state = fill(shape)
    if ended:
        for name in list(state.programs):
            state.apply(ProgramEnded(name, "ended by its caller", ENDED_AT_S))
            state.programs[name].caches.clear()
    kinds = {KIND: ProgramKind(models=(MODEL,))}
    parts: Any = SimpleNamespace(
        wall_clock=lambda: ENDED_AT_S, tickets=SimpleNamespace(config=Config(program_kinds=kinds))
    )
    owner: Any = SimpleNamespace(is_running=lambda program: False)
    router: Any = None
    ender = ProgramGarbageCollector(parts, owner, router, lambda: [LocalLog(0, state)])

    async def body() -> float:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ender.run)
            await anyio.sleep(PASS_INTERVAL_S / 2)
            started = time.process_time()
            await anyio.sleep(PASSES * PASS_INTERVAL_S)
            spent_s = time.process_time() - started
            tasks.cancel_scope.cancel()
        return spent_s / PASSES / shape.programs * US

    return run_virtual(body, seed=1)


def reservation_us(times: int) -> float:
    """Return what a reservation costs that the partition's grant covers."""
    escrow = _escrow(MemoryStore(), partitions=1)
    log = LocalLog(0, PartitionState())

    async def body() -> float:
        (await escrow.reserve(log, BUDGET, 1)).unwrap()
        started = time.process_time()
        for _ in range(times):
            (await escrow.reserve(log, BUDGET, 1)).unwrap()
            escrow.confirm_reservation(log, BUDGET, 1)
        return (time.process_time() - started) / times * US

    return run_virtual(body, seed=1)


def grant_cost(partitions: int) -> tuple[float, float, int]:
    """Return processor time and store calls of a first grant, and the budget object's bytes.

    Every partition takes one grant; the figures are those of the last eighth.
    """
    store = MemoryStore()
    escrow = _escrow(store, partitions=partitions)
    last = max(1, partitions // 8)

    async def body() -> tuple[float, float, int]:
        started, calls = 0.0, 0
        for number in range(partitions):
            if number == partitions - last:
                started, calls = time.process_time(), escrow.store_calls
            log = LocalLog(number, PartitionState())
            (await escrow.reserve(log, BUDGET, 1)).unwrap()
        spent_us = (time.process_time() - started) / last * US
        stored = (await store.get(f"budgets/{BUDGET}")).unwrap()
        return spent_us, (escrow.store_calls - calls) / last, len(stored.value)

    return run_virtual(body, seed=1)


def _escrow(store: MemoryStore, *, partitions: int) -> BudgetEscrow:
    config = Config(budgets={BUDGET: Budget(limit=LARGE_BUDGET)})
    return BudgetEscrow(
        store, lambda: config, Promises(Registry()), node="first", partitions=partitions
    )


def codec_cost(message: Any, times: int) -> tuple[float, int]:
    """Return the processor time of packing and reading a message, and its bytes."""
    packed = encode(message)
    return cpu_us(lambda: decode(encode(message)), times), len(packed)


def buffer_us(tokens: int) -> float:
    """Return what one token costs in an answer's buffer one token a chunk."""

    async def body() -> float:
        buffer = AnswerBuffer()
        started = time.process_time()
        for at in range(tokens):
            buffer.write(at * 4, "word", 1)
        return (time.process_time() - started) / tokens * US

    return run_virtual(body, seed=1)


def chunk(tokens: int) -> AnswerChunk:
    """Return a part of an answer."""
    return AnswerChunk(1_000, "word" * tokens, tokens)
