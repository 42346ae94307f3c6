"""Replays customers that compete for the replicas of 63 gateways, in virtual time.

Each customer draws its programs from numbers of its own, so that the programs of all others are the
same with and without a flood. A customer's connections stay at a few gateways.
"""

from __future__ import annotations

import random
from collections import deque
from functools import partial
from typing import NamedTuple

import anyio

from bramleylead.customers import Customer
from bramleylead.customers import Quota
from bramleylead.fair_shares import DecayedSum
from bramleylead.placement._admission import Progress
from bramleylead.placement._admission import Standing
from bramleylead.placement._admission import check_admission
from bramleylead.placement._admission import check_customer_admission
from bramleylead.placement._customer_use import USE_WINDOW_S
from bramleylead.placement._customer_use import CustomerUse
from bramleylead.placement._customer_use import unknown_use
from bramleylead.placement._program_times import ProgramTimes
from bramleylead.placement._replica_selector import Prompt
from bramleylead.standins import run_virtual
from testing.placement._replay import DECODE_S
from testing.placement._replay import MAX_RETURNS
from testing.placement._replay import PAUSE_S
from testing.placement._replay import PREFILL_TOKENS_PER_S
from testing.placement._replay import SHARED_PARTS
from testing.placement._replay import SHARED_TOKENS
from testing.placement._replay import TURN_TOKENS
from testing.placement._replay import FakeGateway
from testing.placement._replay import Load
from testing.placement._replay import Replay

LARGE_CUSTOMERS = 3
LARGE_WEIGHT = 10.0
SMALL_GATEWAYS = 4
LARGE_GATEWAYS = 12
FLOOD_GATEWAYS = 3
QUOTA_FACTOR = 1.6
BURST_S = 1.0
PLANNED_FACTOR = 1.5
"""A program should finish within this multiple of its time on idle replicas."""
USE_REPORT_S = 0.5
"""The use of a customer over all gateways is known this much later."""
SHARE_WINDOW_S = 3.0
TURN_S = DECODE_S + TURN_TOKENS / PREFILL_TOKENS_PER_S
IDLE_PROGRAM_S = 5 * (TURN_S + PAUSE_S) + SHARED_TOKENS / PREFILL_TOKENS_PER_S


class Flood(NamedTuple):
    """One customer's programs at a multiple of its usual rate, through few gateways."""

    customer: str
    factor: float
    begins_s: float
    lasts_s: float


class Burst(NamedTuple):
    """One kind of request of all customers at a multiple of its usual rate."""

    kind: int
    factor: float
    begins_s: float
    lasts_s: float


class CustomerLoad(NamedTuple):
    """A load of customers to replay.

    :param share_of_capacity: of the usual programs of all customers.
    :param ordered: whether gateways know the customers; otherwise they decide as without them.
    :param tells_use: whether gateways learn the use of the customers over all gateways.
    :param kinds: kinds of request; the number of a kind is its priority.
    """

    share_of_capacity: float = 0.7
    seconds: float = 14.0
    customers: int = 78
    gateways: int = 63
    replicas: int = 24
    slots: int = 8
    ordered: bool = True
    has_quotas: bool = True
    tells_use: bool = True
    kinds: int = 1
    flood: Flood | None = None
    burst: Burst | None = None

    @property
    def fleet(self) -> Load:
        """The gateways and replicas."""
        return Load(self.gateways, self.replicas, self.slots, 0.0, self.seconds)


class Ended(NamedTuple):
    """How one program ended; ``took_s`` counts from its first request, refusals included."""

    customer: str
    kind: int
    began_s: float
    finished: bool
    took_s: float
    refusals: int
    floods: bool

    @property
    def on_time(self) -> bool:
        """Whether it finished in its time."""
        return self.finished and self.took_s <= PLANNED_FACTOR * IDLE_PROGRAM_S

    @property
    def value(self) -> float:
        """1 for a program on time, falling to 0 at twice its time."""
        if not self.finished:
            return 0.0
        late = self.took_s / (PLANNED_FACTOR * IDLE_PROGRAM_S) - 1.0
        return max(0.0, min(1.0, 1.0 - late))


class _Program(NamedTuple):
    customer: Customer
    name: str
    kind: int
    floods: bool


class CustomerReplay(Replay):
    """A replay of customers, and how each of their programs ended."""

    def __init__(self, load: CustomerLoad, seed: int) -> None:
        super().__init__(load.fleet)
        self.customers_load = load
        self.seed = seed
        self.ended: list[Ended] = []
        self.refused_begun = 0
        self.sent: dict[str, deque[float]] = {}
        weights = [LARGE_WEIGHT] * LARGE_CUSTOMERS
        weights += [1.0] * (load.customers - LARGE_CUSTOMERS)
        per_weight = load.share_of_capacity * load.fleet.capacity_programs_per_s / sum(weights)
        self.rates = {f"c{n}": weight * per_weight for n, weight in enumerate(weights)}
        self.customers = {name: self._customer(name, rate) for name, rate in self.rates.items()}
        use_of = self.use_of if load.tells_use else unknown_use
        self.uses = {gateway: CustomerUse(use_of) for gateway in self.gateways}
        self.times = {gateway: ProgramTimes() for gateway in self.gateways}
        self.demand: dict[FakeGateway, DecayedSum] = {}
        self.total_demand = DecayedSum(SHARE_WINDOW_S)
        self.began_at = anyio.current_time()

    def _customer(self, name: str, programs_per_s: float) -> Customer:
        if not self.customers_load.has_quotas:
            return Customer(name)
        rate = QUOTA_FACTOR * programs_per_s * self.load.turns
        return Customer(name, None, Quota(rate, BURST_S * rate))

    def use_of(self, customer: Customer) -> float:
        """Return a customer's use of its quota over all gateways, as of a moment ago."""
        quota = customer.quota
        if quota is None:
            return 0.0
        now = anyio.current_time() - USE_REPORT_S
        sent = self.sent.setdefault(customer.name, deque())
        while sent and sent[0] < now - USE_WINDOW_S:
            sent.popleft()
        return sum(at <= now for at in sent) / (quota.rate_per_s * USE_WINDOW_S)

    def traffic_share(self, gateway: FakeGateway, now: float) -> float:
        """Return a gateway's share of the traffic, as ledger nodes tell it."""
        demand = self.demand.get(gateway)
        return 0.0 if demand is None else demand.value(now) / self.total_demand.value(now)

    async def run(self) -> None:
        """Run the load until every program has ended."""
        async with anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as programs:
                tasks.start_soon(self._share_tables)
                for customer in self.customers.values():
                    programs.start_soon(self._run_customer, programs, customer)
            tasks.cancel_scope.cancel()

    async def _run_customer(self, tasks: anyio.abc.TaskGroup, customer: Customer) -> None:
        name = customer.name
        rate = self.rates[name]
        rng = random.Random(f"{self.seed} {name}")
        count = LARGE_GATEWAYS if int(name[1:]) < LARGE_CUSTOMERS else SMALL_GATEWAYS
        gateways = rng.sample(self.gateways, count)
        tasks.start_soon(self._run_arrivals, tasks, customer, rate, gateways, "usual", None)
        flood, burst = self.customers_load.flood, self.customers_load.burst
        if flood is not None and flood.customer == name:
            few = gateways[:FLOOD_GATEWAYS]
            extra = rate * (flood.factor - 1)
            tasks.start_soon(self._run_arrivals, tasks, customer, extra, few, "flood", flood)
        if burst is not None:
            extra = rate / self.customers_load.kinds * (burst.factor - 1)
            tasks.start_soon(self._run_arrivals, tasks, customer, extra, gateways, "burst", burst)

    async def _run_arrivals(
        self,
        tasks: anyio.abc.TaskGroup,
        customer: Customer,
        programs_per_s: float,
        gateways: list[FakeGateway],
        source: str,
        surge: Flood | Burst | None,
    ) -> None:
        rng = random.Random(f"{self.seed} {customer.name} {source}")
        end = self.began_at + self.customers_load.seconds
        if surge is not None:
            await anyio.sleep(surge.begins_s)
            end = anyio.current_time() + surge.lasts_s
        number = 0
        while True:
            await anyio.sleep(rng.expovariate(programs_per_s))
            if anyio.current_time() >= end:
                return
            kind = surge.kind if isinstance(surge, Burst) else rng.randrange(self._kinds)
            program = _Program(
                customer, f"{customer.name} {source} {number}", kind, surge is not None
            )
            tasks.start_soon(self._run_one, program, gateways)
            number += 1

    @property
    def _kinds(self) -> int:
        return self.customers_load.kinds

    async def _run_one(self, program: _Program, gateways: list[FakeGateway]) -> None:
        rng = random.Random(f"{self.seed} {program.name}")
        shared = f"shared{min(int(rng.expovariate(0.7)), SHARED_PARTS - 1)}"
        gateway = rng.choice(gateways)
        started = anyio.current_time()
        refusals = 0
        finished = True
        for turn in range(self.load.turns):
            own = f"own {program.name}"
            prompt = Prompt(((shared, SHARED_TOKENS), (own, TURN_TOKENS * (turn + 1))))
            while finished:
                check = partial(self._check_turn, gateway, program)
                retry_after_s = await gateway.run_turn(prompt, Progress(turn, refusals), check)
                if retry_after_s is None:
                    break
                refusals += 1
                self.refused_begun += turn > 0
                # A program that is refused in its middle is lost.
                finished = turn == 0 and refusals <= MAX_RETURNS
                if finished:
                    await anyio.sleep(retry_after_s)
            if not finished:
                break
            await anyio.sleep(PAUSE_S)
        took_s = anyio.current_time() - started
        began_s = started - self.began_at
        self.ended.append(
            Ended(
                program.customer.name,
                program.kind,
                began_s,
                finished,
                took_s,
                refusals,
                program.floods,
            )
        )

    def _check_turn(
        self, gateway: FakeGateway, program: _Program, progress: Progress
    ) -> float | None:
        now = anyio.current_time()
        less_urgent = self._kinds - 1 - program.kind
        if self.customers_load.ordered:
            standing = self._standing(gateway, program, progress, less_urgent, now)
            refusal = check_customer_admission(
                gateway.service_load(), progress, standing, turn_s=TURN_S, rng=self.rng
            )
        else:
            refusal = check_admission(
                gateway.service_load(),
                progress,
                less_urgent_priorities=less_urgent,
                turn_s=TURN_S,
                rng=self.rng,
            )
        if refusal is not None:
            return refusal.retry_after_s
        uses = self.uses[gateway]
        if not progress.turns:
            uses.record_start(program.customer, now=now)
        uses.record_request(program.customer, now=now)
        self.demand.setdefault(gateway, DecayedSum(SHARE_WINDOW_S)).add(1.0, now)
        self.total_demand.add(1.0, now)
        self.sent.setdefault(program.customer.name, deque()).append(now)
        return None

    def _standing(
        self,
        gateway: FakeGateway,
        program: _Program,
        progress: Progress,
        less_urgent: int,
        now: float,
    ) -> Standing:
        name = program.customer.name
        times = self.times[gateway]
        if not progress.turns:
            planned_s = PLANNED_FACTOR * IDLE_PROGRAM_S
            times.record_begin(name, program.name, planned_s, now=now)
        value_left_s = times.value_left_s(name, program.name, now=now)
        use = self.uses[gateway].use(
            program.customer,
            customers=len(self.customers),
            traffic_share=self.traffic_share(gateway, now),
            now=now,
        )
        return Standing(use, less_urgent, progress.turns > 0, value_left_s, value_left_s)


def replay(load: CustomerLoad, *, seed: int = 1) -> CustomerReplay:
    """Replay a load of customers; the same seed gives the same programs."""
    replays = []

    async def main() -> None:
        replays.append(CustomerReplay(load, seed))
        await replays[0].run()

    run_virtual(main, seed=seed)
    return replays[0]
