"""``bramleylead bench decision``: processor time of one decision by fleet size and live programs.

The fleet is laid out as at the target: 14 models and 4 data centres from 100 replicas on. One owner
chooses pools among all of them; one dispatcher, with its share of the programs known, grants and
takes back slots.
"""

from __future__ import annotations

import random
import time

import anyio
import anyio.lowlevel
from absl import flags
from result import Ok

from bramleylead.backends import LoadReport
from bramleylead.bench import Figure
from bramleylead.bench import bench
from bramleylead.node_settings import SchedulingSettings
from bramleylead.scheduling import ChooserParameters
from bramleylead.scheduling import Dispatcher
from bramleylead.scheduling import PoolChooser
from bramleylead.scheduling import PoolNews
from bramleylead.scheduling import SlotFinished
from bramleylead.scheduling import SlotRequest
from bramleylead.scheduling import pools_of
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind

REPLICAS = (9, 100, 820)
PROGRAMS = (100, 10_000, 84_000)
MODELS = 14
DATA_CENTRES = 4
SMALL_FLEET = 9
DECISIONS = 2_000
BRANCHES = 250
QUEUED = 50
SLOTS = 4
"""Calls that an endpoint of this bench takes at once."""
MEMORY_TOKENS = 4_000_000
US_PER_S = 1e6
AIM_US = 50.0


def _endpoints(replicas: int) -> dict[str, Endpoint]:
    models = 1 if replicas <= SMALL_FLEET else MODELS
    found = {}
    for number in range(replicas):
        place = (number // models) % DATA_CENTRES
        found[f"e{number}"] = Endpoint(
            kind=EndpointKind.ENGINE,
            address="10.0.0.1:8000",
            serves=f"m{number % models}",
            region=f"r{place // 2}",
            data_centre=f"d{place}",
            max_calls=SLOTS,
        )
    return found


def _request(number: int, *, endpoint: str, rng: random.Random) -> SlotRequest:
    return SlotRequest(
        call=f"p{number}/3",
        program=f"p{number}",
        branch=f"b{rng.randrange(BRANCHES)}",
        serves="m0",
        region="r0",
        data_centre="d0",
        home_region="r0",
        weight=1.0,
        prompt_tokens=2_000,
        expected_output_tokens=150,
        attained=float(rng.randrange(1, 50_000)),
        cached={endpoint: 1_900},
        waited_s=0.0,
        deadline_s=60.0,
    )


def measure_choice(replicas: int) -> float:
    """Return the processor time of one choice of a pool, in microseconds."""
    rng = random.Random(1)
    chooser = PoolChooser("bramleylead", ChooserParameters(), rng=rng)
    pools = pools_of(_endpoints(replicas))
    chooser.set_pools(pools)
    for key in pools:
        chooser.update_load(PoolNews(str(key), 15, 100, 50, 0, rng.random(), 1.0, 0.5), 0.0)
    requests = [_request(n, endpoint="e0", rng=rng) for n in range(DECISIONS)]
    started = time.process_time()
    for request in requests:
        chooser.choose(request, 1.0)
    return (time.process_time() - started) / DECISIONS * US_PER_S


async def measure_slot(replicas: int, programs: int) -> tuple[float, float]:
    """Return the time of granting and taking back one slot, and the policy's part, in microseconds.

    More calls want slots than there are, so that each slot taken back starts a queued call.
    """
    rng = random.Random(1)
    pools = pools_of(_endpoints(replicas))
    pool = next(iter(pools.values()))
    dispatcher = Dispatcher(
        "pool", SchedulingSettings(parameters={"shed": False}), clock=time.process_time
    )
    dispatcher.set_endpoints(pool)
    names = list(pool)
    for number in range(programs // len(pools)):
        dispatcher.endpoints[names[number % len(names)]].set_cached_tokens(f"p{number}", 1_900)
    for name in names:
        dispatcher.observe_load(name, LoadReport(10, 0, 0, MEMORY_TOKENS, 0.5))
    requests = [_request(n, endpoint=rng.choice(names), rng=rng) for n in range(DECISIONS)]
    callers = SLOTS * len(names) + QUEUED
    started = time.process_time()
    async with anyio.create_task_group() as tasks:
        for caller in range(callers):
            tasks.start_soon(_run_all, dispatcher, requests[caller::callers])
    total_us = (time.process_time() - started) / DECISIONS * US_PER_S
    return total_us, dispatcher.decision_s / DECISIONS * US_PER_S


async def _run_all(dispatcher: Dispatcher, requests: list[SlotRequest]) -> None:
    for request in requests:
        async with dispatcher.slot(request) as result:
            assert isinstance(result, Ok)
            slot = result.ok_value
            await anyio.lowlevel.checkpoint()
            slot.finish(SlotFinished(slot.granted.endpoint, True, 0.02, 1.0, 2_000, 1_900, 100))


@bench("decision")
def main(argv: list[str]) -> int:
    """Run the bench; 0 when every decision is within the aim."""
    flags.FlagValues()(["decision", *argv])
    within = True
    for replicas in REPLICAS:
        choice_us = measure_choice(replicas)
        print(Figure(f"decision.pool_choice_us.r{replicas}", choice_us, "us").to_json())
        for programs in PROGRAMS:
            total_us, policy_us = anyio.run(measure_slot, replicas, programs)
            label = f"r{replicas}.p{programs}"
            print(Figure(f"decision.policy_us.{label}", policy_us, "us", AIM_US).to_json())
            print(Figure(f"decision.slot_us.{label}", total_us, "us").to_json())
            within = within and policy_us + choice_us <= AIM_US
    return 0 if within else 1
