"""Replays a load of programs on many gateways and replicas, in virtual time.

The gateways decide with the product's own classes. Replicas, ledger members and callers are models:
a replica runs requests in order of arrival on its slots, a message takes a fixed time, and a
refused caller returns when it was told to, a few times.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import anyio

from bramleylead.gateway._load_reporter import LoadReporter
from bramleylead.gateway._replica_choice import ROOM_POLL_S
from bramleylead.gateway._replica_choice import UNDER_WAY_ROOM_WAIT_S
from bramleylead.placement._admission import Progress
from bramleylead.placement._admission import ServiceLoad
from bramleylead.placement._admission import check_admission
from bramleylead.placement._fleet_table import FleetTable
from bramleylead.placement._fleet_table import merge_fleet_loads
from bramleylead.placement._prompt import Prompt
from bramleylead.placement._replica_selector import Candidate
from bramleylead.placement._replica_selector import ReplicaSelector
from bramleylead.standins import virtual_random

MESSAGE_S = 0.004
DECODE_S = 0.3
PREFILL_TOKENS_PER_S = 147_000
SHARED_TOKENS = 12_600
TURN_TOKENS = 1_200
SHARED_PARTS = 6
PAUSE_S = 0.05
SHARE_INTERVAL_S = 0.25
MAX_RETURNS = 6
NO_ROOM_RETRY_S = 0.25
AIM_FACTOR = 1.5
"""A program is on time if it takes at most this multiple of its time on idle replicas."""


class Load(NamedTuple):
    """A load to replay.

    :param programs_per_s: new programs a second; each runs ``turns`` turns, one after the other.
    :param shares_loads: whether gateways report their loads and learn those of others.
    :param admits_all: whether every program may start at once.
    """

    gateways: int
    replicas: int
    slots: int
    programs_per_s: float
    seconds: float
    turns: int = 5
    shares_loads: bool = True
    admits_all: bool = False
    shared_parts: int = SHARED_PARTS
    turn_tokens: int = TURN_TOKENS

    @property
    def capacity_programs_per_s(self) -> float:
        """New programs a second that keep all slots busy."""
        turn_s = DECODE_S + TURN_TOKENS / PREFILL_TOKENS_PER_S
        return self.replicas * self.slots / turn_s / self.turns


class FakeEngine:
    """A replica: slots, a queue, and a cache without a limit."""

    def __init__(self, name: str, slots: int) -> None:
        self.name = name
        self.slots = slots
        self.present = 0
        self.most_present = 0
        self.cached: dict[str, int] = {}
        self.read_tokens = 0
        self.reread_tokens = 0
        self._free = anyio.CapacityLimiter(slots)

    async def run(
        self, prompt: Prompt, known_parts: set[str], on_head: Callable[[], None] = lambda: None
    ) -> None:
        """Run a request; ``on_head`` is called when the head of its response is sent."""
        self.present += 1
        self.most_present = max(self.most_present, self.present)
        try:
            async with self._free:
                read = self._read(prompt, known_parts)
                await self.work(read / PREFILL_TOKENS_PER_S)
                on_head()
                await self.work(DECODE_S)
        finally:
            self.present -= 1

    async def work(self, usual_s: float) -> None:
        """Take the time for work that usually takes this long."""
        await anyio.sleep(usual_s)

    def _read(self, prompt: Prompt, known_parts: set[str]) -> int:
        """Return the tokens to read; a shared part that another replica has read is read again."""
        total = 0
        for part, tokens in prompt.parts:
            missing = max(0, tokens - self.cached.get(part, 0))
            self.cached[part] = tokens
            total += missing
            if part.startswith("shared") and missing and part in known_parts:
                self.reread_tokens += missing
            known_parts.add(part)
        self.read_tokens += total
        return total


class FakeGateway:
    """A gateway's decisions, with the product's own classes."""

    def __init__(self, replay: Replay, number: int) -> None:
        self._replay = replay
        self.number = number
        self.selector = ReplicaSelector(first_turn=number)
        self.reporter = LoadReporter(f"g{number}", self.selector)
        self.members = [replay.tables[number % 2], replay.tables[2]]

    async def run_turn(
        self,
        prompt: Prompt,
        progress: Progress,
        check: Callable[[Progress], float | None] | None = None,
    ) -> float | None:
        """Run one turn; return when to come back if it was refused.

        :param check: decides instead of the gateway itself whether the turn may start.
        """
        await self._exchange(prompt)
        refusal = (check or self._check)(progress)
        if refusal is not None:
            return refusal
        chosen = await self._choose(prompt, under_way=progress.turns > 0)
        if chosen is None:
            return self._replay.rng.uniform(NO_ROOM_RETRY_S, 3 * NO_ROOM_RETRY_S)
        self.selector.start_request(chosen, prompt)
        await self._report_choice()
        engine = self._replay.engines[chosen.name]
        self._replay.count_arrival(engine)
        await engine.run(
            prompt, self._replay.known_parts, lambda: self._replay.record_head(self, engine)
        )
        await anyio.sleep(MESSAGE_S)
        self.selector.end_request(chosen.name, prompt)
        self.reporter.record_turn(chosen.name, prompt)
        await self._exchange(prompt)
        return None

    async def _choose(self, prompt: Prompt, *, under_way: bool) -> Candidate | None:
        """Choose a replica; a turn of a program in progress waits for one that has room."""
        needed_by = anyio.current_time() + (UNDER_WAY_ROOM_WAIT_S if under_way else 0.0)
        while True:
            chosen = self._replay.choose(self, prompt, under_way=under_way)
            if chosen is not None or anyio.current_time() >= needed_by:
                return chosen
            await anyio.sleep(ROOM_POLL_S)

    async def _report_choice(self) -> None:
        report = self.reporter.report()
        await anyio.sleep(MESSAGE_S)
        if self._replay.load.shares_loads:
            for table in self.members:
                table.record(report, now=anyio.current_time())

    async def _exchange(self, prompt: Prompt) -> None:
        report = self.reporter.report()
        parts = [part for part, _ in prompt.parts]
        await anyio.sleep(MESSAGE_S)
        if not self._replay.load.shares_loads:
            return
        now = anyio.current_time()
        for table in self.members:
            table.record(report, now=now)
        loads = [table.load_for(report.gateway, parts, now=now) for table in self.members]
        await anyio.sleep(MESSAGE_S)
        self.selector.record_fleet_load(merge_fleet_loads(loads), prompt)

    def _check(self, progress: Progress) -> float | None:
        if self._replay.load.admits_all:
            return None
        refusal = check_admission(
            self.service_load(),
            progress,
            less_urgent_priorities=0,
            turn_s=DECODE_S,
            rng=self._replay.rng,
        )
        return None if refusal is None else refusal.retry_after_s

    def service_load(self) -> ServiceLoad:
        """Return the load of all replicas, as this gateway knows it."""
        return ServiceLoad(
            sum(self.selector.running(name) for name in self._replay.engines),
            sum(engine.slots for engine in self._replay.engines.values()),
        )


class Replay:
    """One replay, and what it counts."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.rng = virtual_random("replay")
        self.engines = {f"i{n}": self.make_engine(f"i{n}") for n in range(load.replicas)}
        self.candidates = [
            Candidate(name, load.slots, 10_000_000, True, True) for name in self.engines
        ]
        self.tables = [FleetTable() for _ in range(3)]
        self.gateways = [FakeGateway(self, n) for n in range(load.gateways)]
        self.known_parts: set[str] = set()
        self.arrivals = 0
        self.needless_waits = 0
        self.finished = 0
        self.on_time = 0
        self.failed = 0
        self.total_s = 0.0
        self.refused_under_way = 0
        self._scheduled: list[tuple[float, Callable[[], None]]] = []
        self.refusals: Counter[int] = Counter()

    def make_engine(self, name: str) -> FakeEngine:
        """Return a new replica."""
        return FakeEngine(name, self.load.slots)

    def choose(self, gateway: FakeGateway, prompt: Prompt, *, under_way: bool) -> Candidate | None:
        """Return the replica to which a gateway sends a request; ``None`` if none has room."""
        return gateway.selector.choose(self.candidates, prompt)

    def record_head(self, gateway: FakeGateway, engine: FakeEngine) -> None:
        """Let a gateway read the figures in the head of a response."""

    def gateway_for(self, number: int) -> FakeGateway:
        """Return the gateway at which the next turn of a program arrives."""
        return self.rng.choice(self.gateways)

    def turn_prompt(self, shared: str, number: int, turn: int) -> Prompt:
        """Return the prompt of a program's turn."""
        own_tokens = self.load.turn_tokens * (turn + 1)
        return Prompt(((shared, SHARED_TOKENS), (f"own{number}", own_tokens)))

    @property
    def reread_share(self) -> float:
        """Shared parts read again, of all prompt tokens read."""
        read = sum(engine.read_tokens for engine in self.engines.values())
        return sum(engine.reread_tokens for engine in self.engines.values()) / read

    @property
    def on_time_per_s(self) -> float:
        """Programs finished on time for each second of the load."""
        return self.on_time / self.load.seconds

    def count_arrival(self, engine: FakeEngine) -> None:
        """Count a request that arrives at a full replica while another one has a free slot."""
        self.arrivals += 1
        is_full = engine.present >= engine.slots
        free = any(other.present < other.slots for other in self.engines.values())
        self.needless_waits += is_full and free

    def at(self, second: float, action: Callable[[], None]) -> None:
        """Do something at a time after the start of the load."""
        self._scheduled.append((second, action))

    async def run(self) -> None:
        """Run the load until every program has ended."""
        async with anyio.create_task_group() as tasks:
            for second, action in self._scheduled:
                tasks.start_soon(self._act, second, action)
            async with anyio.create_task_group() as programs:
                tasks.start_soon(self._share_tables)
                end = anyio.current_time() + self.load.seconds
                number = 0
                while anyio.current_time() < end:
                    await anyio.sleep(self.rng.expovariate(self.load.programs_per_s))
                    programs.start_soon(self._run_program, number)
                    number += 1
            tasks.cancel_scope.cancel()

    async def _act(self, second: float, action: Callable[[], None]) -> None:
        await anyio.sleep(second)
        action()

    async def _share_tables(self) -> None:
        while True:
            await anyio.sleep(SHARE_INTERVAL_S)
            now = anyio.current_time()
            for table in self.tables:
                loads = table.take_unshared(now=now)
                for other in self.tables:
                    if other is not table:
                        other.record_shared(loads, now=now)

    async def _run_program(self, number: int) -> None:
        shared = f"shared{min(int(self.rng.expovariate(0.7)), self.load.shared_parts - 1)}"
        refusals = 0
        started = anyio.current_time()
        for turn in range(self.load.turns):
            prompt = self.turn_prompt(shared, number, turn)
            while True:
                gateway = self.gateway_for(number)
                retry_after_s = await gateway.run_turn(prompt, Progress(turn, refusals))
                if retry_after_s is None:
                    break
                self.refused_under_way += turn > 0
                refusals += 1
                if refusals > MAX_RETURNS:
                    self.failed += 1
                    return
                await anyio.sleep(retry_after_s)
                started = anyio.current_time()
            await anyio.sleep(PAUSE_S)
        self.refusals[refusals] += 1
        self.finished += 1
        self.total_s += anyio.current_time() - started
        idle_s = self.load.turns * (DECODE_S + TURN_TOKENS / PREFILL_TOKENS_PER_S + PAUSE_S)
        idle_s += SHARED_TOKENS / PREFILL_TOKENS_PER_S
        self.on_time += anyio.current_time() - started <= AIM_FACTOR * idle_s
