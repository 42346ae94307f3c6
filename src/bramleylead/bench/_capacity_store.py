"""Store calls of a small fleet by kind, at rest and under programs, for the capacity bench."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import anyio

from bramleylead.platform import MemoryStore
from bramleylead.standins import run_virtual
from bramleylead.trials._caller import Caller
from bramleylead.trials._deployments import ratsakool
from bramleylead.trials._fleet import Fleet
from bramleylead.trials._fleet import running_fleet
from bramleylead.trials._observations import ProgramEnd
from bramleylead.trials._program_plan import Plan
from bramleylead.trials._program_plan import model_step

COUNTED = ("get", "list", "watch", "vms", "put_now", "delete_now")
WARM_UP_S = 40.0
WATCHED_S = 60.0
STEPS = 5
PAUSE_S = 2.0
ANSWER_TOKENS = 40
SEED = 1


class StoreCalls(NamedTuple):
    """Calls by kind and first part of the key: a second at rest, and beyond that by program."""

    at_rest: dict[str, float]
    a_program: dict[str, float]


def measure_store_calls(programs: int) -> StoreCalls:
    """Count the calls of 6 nodes, first without and then with programs that all end."""

    async def body() -> StoreCalls:
        async with running_fleet(ratsakool(), seed=SEED) as fleet:
            counts = _count_calls(fleet.inner_store)
            await anyio.sleep(WARM_UP_S)
            counts.clear()
            await anyio.sleep(WATCHED_S)
            at_rest = {name: count / WATCHED_S for name, count in counts.items()}
            counts.clear()
            started = anyio.current_time()
            await _run_programs(fleet, programs)
            await anyio.sleep(WATCHED_S)
            lasted_s = anyio.current_time() - started
            beyond = {name: n - at_rest.get(name, 0.0) * lasted_s for name, n in counts.items()}
            return StoreCalls(at_rest, {name: n / programs for name, n in beyond.items()})

    return run_virtual(body, seed=SEED)


def _count_calls(store: MemoryStore) -> Counter[str]:
    """Count every call to a store from here on: its methods are wrapped in place."""
    counts: Counter[str] = Counter()

    def counted(name: str, inner: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any, **options: Any) -> Any:
            key = str(arguments[0]) if arguments else name
            counts[f"{name.removesuffix('_now')}.{key.split('/')[0]}"] += 1
            return inner(*arguments, **options)

        return call

    for name in COUNTED:
        setattr(store, name, counted(name, getattr(store, name)))
    return counts


async def _run_programs(fleet: Fleet, programs: int) -> None:
    kinds = fleet.deployment.ticket.program_kinds
    kind = next(name for name, item in sorted(kinds.items()) if len(item.tools) > 1)
    branches = sorted(
        name
        for name, item in fleet.deployment.ticket.branches.items()
        if kind in item.program_kinds
    )
    ends: list[ProgramEnd] = []

    async def run(number: int) -> None:
        rng = random.Random(f"{SEED}/{number}")
        steps = tuple(model_step(f"step [output={ANSWER_TOKENS}]", PAUSE_S) for _ in range(STEPS))
        plan = Plan(f"program-{number}", branches[number % len(branches)], kind, steps)
        await anyio.sleep(rng.uniform(0.0, PAUSE_S))
        ends.append((await Caller(fleet, plan, rng).run()).end)

    async with anyio.create_task_group() as tasks:
        for number in range(programs):
            tasks.start_soon(run, number)
    if any(end is not ProgramEnd.FINISHED for end in ends):
        raise RuntimeError(f"programs did not finish: {Counter(ends)}")
