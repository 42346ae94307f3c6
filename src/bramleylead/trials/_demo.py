"""The demo: both users' fleets in one process, callers over HTTP, a stop and a kill on the way."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.node_settings import StoreSettings
from bramleylead.platform import MemoryStore
from bramleylead.standins import EngineModelSettings
from bramleylead.standins import serve_objects
from bramleylead.trials._caller import Caller
from bramleylead.trials._example import load_example
from bramleylead.trials._judge import judge_ledgers
from bramleylead.trials._judge import judge_memory
from bramleylead.trials._live import LiveFleet
from bramleylead.trials._live import live_fleet
from bramleylead.trials._observations import Observed
from bramleylead.trials._plans import random_plan
from bramleylead.trials._program_plan import Plan

USERS = ("aspenhold", "ratsakool")
NODES = 3
ENGINES = 4
PROGRAMS = 120
MAX_UNDER_WAY = 12
"""Programs that run at once. All nodes, engines and callers share one core: more would fill it on a
slow machine, and what calls then wait for is the machine and not the product."""
STOP_AT = 0.25
KILL_AT = 0.6
"""When a node is stopped and one is killed, as shares of the programs that have started."""
PAUSE_FACTOR = 0.01
LONGEST_PAUSE_S = 0.5
SPEED = 10.0
"""The stand-in engines are this much faster than those they stand for."""
TIME_LIMIT_S = 240.0
"""The demo ends by then, whatever has finished."""
RELEASE_LIMIT_S = 6.0
"""Time within which the last programs' caches must be released."""
RELEASE_CHECK_S = 0.1
TICK_S = 2.0

Say = Callable[[str], None]


class DemoSettings(NamedTuple):
    """What a demo runs.

    :param examples: folder with one folder a user.
    """

    examples: Path
    programs: int = PROGRAMS
    seed: int = 1
    time_limit_s: float = TIME_LIMIT_S


class UserRun(NamedTuple):
    """One user's fleet and what its callers have seen."""

    fleet: LiveFleet
    seen: list[Observed]


def demo_engine() -> EngineModelSettings:
    """Return an engine whose times are scaled down to the demo's."""
    usual = EngineModelSettings()
    scaled = (
        "step_base_ms",
        "step_sequence_ms",
        "step_context_token_ms",
        "prefill_token_ms",
        "prefill_context_ms",
        "report_lag_s",
        "report_interval_s",
        "event_delay_s",
    )
    return usual.model_copy(update={name: getattr(usual, name) / SPEED for name in scaled})


async def run_demo(settings: DemoSettings, say: Say) -> list[UserRun]:
    """Run the demo over asyncio and judge it; what is not done in time stays unfinished."""
    rng = random.Random(settings.seed)
    runs: list[UserRun] = []
    started_s = time.monotonic()
    async with AsyncExitStack() as stack:
        for user in USERS:
            runs.append(await _start_user(stack, settings, user, rng))
            names = ", ".join(runs[-1].fleet.hosts)
            say(f"{user}: {len(runs[-1].fleet.endpoints.engines)} engines, nodes {names}")
        left_s = settings.time_limit_s - (time.monotonic() - started_s)
        with anyio.move_on_after(left_s) as limit:
            async with anyio.create_task_group() as tasks:
                progress = _Progress(runs, settings.programs, say)
                tasks.start_soon(progress.run)
                await _run_callers(settings, runs, rng, say)
                tasks.cancel_scope.cancel()
        if limit.cancelled_caught:
            say(f"the time limit of {settings.time_limit_s:g} s is reached")
        for run in runs:
            await _judge(run)
    return runs


async def _start_user(
    stack: AsyncExitStack, settings: DemoSettings, user: str, rng: random.Random
) -> UserRun:
    store = MemoryStore()
    address = await stack.enter_async_context(serve_objects(store, "127.0.0.1:0"))
    example = load_example(
        settings.examples / user,
        nodes=NODES,
        engines=ENGINES,
        store=StoreSettings(kind="http", location=f"http://{address}"),
    )
    fleet_rng = random.Random(rng.getrandbits(64))
    running = live_fleet(example, store, engine=demo_engine(), rng=fleet_rng)
    return UserRun(await stack.enter_async_context(running), [])


async def _run_callers(
    settings: DemoSettings, runs: list[UserRun], rng: random.Random, say: Say
) -> None:
    """Start the programs in turn for both users, as others end; return when all have ended."""
    started = _Started(settings.programs)
    under_way = anyio.CapacityLimiter(MAX_UNDER_WAY)

    async def run_caller(caller: Caller) -> None:
        async with under_way:
            started.record()
            await caller.run()

    async with anyio.create_task_group() as tasks:
        for run in runs:
            tasks.start_soon(_disturb, run.fleet, started, say)
        for serial in range(settings.programs):
            run = runs[serial % len(runs)]
            plan = hurried(random_plan(run.fleet.deployment, rng, serial))
            caller = Caller(run.fleet, plan, random.Random(rng.getrandbits(64)))
            run.seen.append(caller.seen)
            tasks.start_soon(run_caller, caller)


def hurried(plan: Plan) -> Plan:
    """Return a plan with the pauses of a person in a hurry."""
    steps = tuple(
        step._replace(pause_s=min(step.pause_s * PAUSE_FACTOR, LONGEST_PAUSE_S))
        for step in plan.steps
    )
    return plan._replace(steps=steps)


@final
class _Started:
    """How many programs have started, for those who wait for a share of them."""

    def __init__(self, programs: int) -> None:
        self._programs = programs
        self._count = 0
        self._changed = anyio.Event()

    def record(self) -> None:
        """Count a program that starts."""
        self._count += 1
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for(self, share: float) -> None:
        """Wait until a share of all programs has started."""
        while self._count < share * self._programs:
            await self._changed.wait()


async def _disturb(fleet: LiveFleet, started: _Started, say: Say) -> None:
    """Stop the first node gracefully and start it again, then kill the last one for good."""
    names = sorted(fleet.hosts)
    await started.wait_for(STOP_AT)
    say(f"{fleet.deployment.name}: stopping {names[0]} gracefully")
    await fleet.stop(names[0])
    say(f"{fleet.deployment.name}: {names[0]} has stopped; starting it again")
    await fleet.start_node(names[0])
    await started.wait_for(KILL_AT)
    say(f"{fleet.deployment.name}: killing {names[-1]} without a word")
    await fleet.kill(names[-1])


async def _judge(run: UserRun) -> None:
    """Add what the ledgers show to what the callers have found."""
    give_up_s = anyio.current_time() + RELEASE_LIMIT_S
    while _holds_caches(run.fleet) and anyio.current_time() < give_up_s:  # noqa: ASYNC110 - no event
        await anyio.sleep(RELEASE_CHECK_S)
    judge_ledgers(run.fleet, run.seen)
    cut_off = [item.plan.program for item in run.seen if not item.is_released]
    judge_memory(run.fleet, cut_off=cut_off)
    run.fleet.collect_violations()


def _holds_caches(fleet: LiveFleet) -> bool:
    return any(engine.cache.by_program() for engine in fleet.endpoints.engines.values())


@final
class _Progress:
    """Says now and then how far the programs are."""

    def __init__(self, runs: list[UserRun], programs: int, say: Say) -> None:
        self._runs = runs
        self._programs = programs
        self._say = say

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            seen = [item for run in self._runs for item in run.seen]
            started = sum(1 for item in seen if item.started_s)
            ended = sum(1 for item in seen if item.ended_s)
            calls = sum(len(item.call_s) for item in seen)
            self._say(f"{started} of {self._programs} started, {ended} ended, {calls} calls")
