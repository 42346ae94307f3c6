"""``bramleylead bench path``: a call through entry, owner and engine against one to the engine.

Engine, three nodes, object API and callers share one process and one thread. The direct calls run
while the same nodes stand idle beside them, so the difference in processor time is what the calls
cost in the nodes: in the entry and the owner, which are two processes in use, and a little in the
second copy and the dispatcher. It is divided by two, for a token a process. Added times are upper
bounds for separate processes, whose work would overlap.
"""

from __future__ import annotations

import logging
import statistics
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import anyio
from absl import flags

from bramleylead.bench import Figure
from bramleylead.bench import bench
from bramleylead.bench._path_parts import PathFleet
from bramleylead.bench._path_parts import bench_caller
from bramleylead.bench._path_parts import chat_request
from bramleylead.bench._path_parts import end_request
from bramleylead.bench._path_parts import open_request
from bramleylead.bench._path_parts import path_fleet
from bramleylead.logs import configure_logs
from bramleylead.node_settings import RequestSettings
from bramleylead.standins import EngineModelSettings

NODES_IN_USE = 2
WARM_UP_CALLS = 20
SHORT_ANSWER_TOKENS = 4
LONG_ANSWER_TOKENS = 200
STREAMS = 16
COST_ROUNDS = 3
PROGRAMS_AT_ONCE = 16
QUICK_STEP_MS = 1.0
STEP_MS = 12.0
MS = 1e3
US = 1e6


class Cost(NamedTuple):
    """Wall and processor time of a run."""

    wall_s: float
    cpu_s: float


@bench("path")
def run_path(words: list[str]) -> int:
    """Print what the path adds to the first token, and what a token costs."""
    values = flags.FlagValues()
    flags.DEFINE_integer("calls", 300, "Calls timed.", lower_bound=20, flag_values=values)
    flags.DEFINE_integer("programs", 300, "Programs counted.", lower_bound=20, flag_values=values)
    flags.DEFINE_float(
        "coalesce_ms",
        RequestSettings().coalesce_s * MS,
        "requests.coalesce_s of the nodes.",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_boolean("tokens", False, "Only the cost of a token.", flag_values=values)
    values(["bench path", *words])
    configure_logs("console", level=logging.ERROR)
    for figure in anyio.run(_measure, values, backend="asyncio"):
        print(figure.to_json())
    return 0


async def _measure(values: flags.FlagValues) -> list[Figure]:
    figures: list[Figure] = []
    requests = RequestSettings(coalesce_s=values.coalesce_ms / MS)
    if not values.tokens:
        quick = _engine(step_ms=QUICK_STEP_MS, chunk_tokens=32)
        async with path_fleet(quick, requests) as fleet:
            figures += await _first_token(fleet, values.calls)
            figures.append(await _programs(fleet, values.programs))
    for name, chunk_tokens in (("path.cpu_per_token_us", 1), ("path.cpu_per_token_chunked_us", 32)):
        engine = _engine(step_ms=STEP_MS, chunk_tokens=chunk_tokens)
        async with path_fleet(engine, requests) as fleet:
            figures.append(await _token_cost(fleet, name))
    return figures


def _engine(*, step_ms: float, chunk_tokens: int) -> EngineModelSettings:
    return EngineModelSettings(step_base_ms=step_ms, chunk_tokens=chunk_tokens)


async def _first_token(fleet: PathFleet, calls: int) -> list[Figure]:
    """Time calls in turn on both ways, one at a time."""
    through: list[float] = []
    direct: list[float] = []
    async with (
        bench_caller(fleet.entry_address) as caller,
        bench_caller(fleet.engine_address) as engine,
    ):
        for number in range(WARM_UP_CALLS + calls):
            program = fleet.new_program()
            request = chat_request(program, SHORT_ANSWER_TOKENS)
            await caller.short(open_request(program))
            path = await caller.stream(request)
            await caller.short(end_request(program))
            bare = await engine.stream(request)
            if number >= WARM_UP_CALLS:
                through.append(path.first_s)
                direct.append(bare.first_s)
    return [_added(0.5, through, direct), _added(0.99, through, direct)]


def _added(share: float, through: list[float], direct: list[float]) -> Figure:
    """Compare quantiles; the baseline is the direct call's, the ratio added by direct."""
    path_ms, direct_ms = _quantile(through, share) * MS, _quantile(direct, share) * MS
    name = f"path.first_token_added_p{share * 100:.0f}_ms"
    return Figure(name, path_ms - direct_ms, "ms", direct_ms)


async def _programs(fleet: PathFleet, programs: int) -> Figure:
    """Count whole programs of one call, several at once, against bare calls."""

    async def through() -> None:
        async with bench_caller(fleet.entry_address) as caller:
            for _ in range(programs // PROGRAMS_AT_ONCE):
                program = fleet.new_program()
                await caller.short(open_request(program))
                await caller.stream(chat_request(program, SHORT_ANSWER_TOKENS))
                await caller.short(end_request(program))

    async def direct() -> None:
        async with bench_caller(fleet.engine_address) as caller:
            for _ in range(programs // PROGRAMS_AT_ONCE):
                await caller.stream(chat_request("direct", SHORT_ANSWER_TOKENS))

    path = await _at_once(PROGRAMS_AT_ONCE, through)
    bare = await _at_once(PROGRAMS_AT_ONCE, direct)
    count = programs // PROGRAMS_AT_ONCE * PROGRAMS_AT_ONCE
    return Figure("path.programs_per_s", count / path.wall_s, "1/s", count / bare.wall_s)


async def _token_cost(fleet: PathFleet, name: str) -> Figure:
    """Compare the processor time of long answers; the baseline is the whole direct way's."""

    async def through() -> None:
        program = fleet.new_program()
        async with bench_caller(fleet.entry_address) as caller:
            await caller.short(open_request(program))
            await caller.stream(chat_request(program, LONG_ANSWER_TOKENS))

    async def direct() -> None:
        async with bench_caller(fleet.engine_address) as caller:
            await caller.stream(chat_request("direct", LONG_ANSWER_TOKENS))

    await _at_once(STREAMS, through)
    paths, bares = [], []
    for _ in range(COST_ROUNDS):
        paths.append((await _at_once(STREAMS, through)).cpu_s)
        bares.append((await _at_once(STREAMS, direct)).cpu_s)
    path_s, bare_s = statistics.median(paths), statistics.median(bares)
    tokens = STREAMS * LONG_ANSWER_TOKENS
    added_us = (path_s - bare_s) / tokens / NODES_IN_USE * US
    return Figure(name, added_us, "us", bare_s / tokens * US)


async def _at_once(count: int, run: Callable[[], Awaitable[None]]) -> Cost:
    wall_s, cpu_s = time.perf_counter(), time.process_time()
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(run)
    return Cost(time.perf_counter() - wall_s, time.process_time() - cpu_s)


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
