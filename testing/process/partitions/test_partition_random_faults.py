"""Ownership and journal under random faults: acknowledged entries stay, and one node may act."""

from __future__ import annotations

import random
import unittest
from typing import Any

import anyio
from result import Err
from result import Ok

from bramleylead.fleet._members import MemberState
from testing.process._partition_fleet import PartitionFleet
from testing.process._partition_fleet import program_opened
from testing.process._partition_fleet import run_fleet

PARTITIONS = 4
FAULT_DURATION_S = 120.0
SEEDS = (8, 14, 105)


class Observations:
    """Replies to callers and other observations of a run, recorded outside the nodes."""

    def __init__(self) -> None:
        self.acked: list[tuple[int, str, int]] = []
        self.solo = 0
        self.refused = 0
        self.concurrent_owners: list[tuple[float, int, list[str]]] = []
        self.faults: dict[str, int] = {}


async def _append_once(
    fleet: PartitionFleet, number: int, name: str, observations: Observations
) -> None:
    for node in list(fleet.nodes.values()):
        log = node.partitions.log(number)
        if log is None:
            continue
        outcome = await log.append(program_opened(name))
        if outcome == Ok(True):
            observations.acked.append((number, name, log.state.incarnation))
            return
        observations.solo += outcome == Ok(False)
        observations.refused += isinstance(outcome, Err)


async def _append_continuously(
    fleet: PartitionFleet, observations: Observations, rng: random.Random
) -> None:
    serial = 0
    async with anyio.create_task_group() as tasks:
        while True:
            serial += 1
            tasks.start_soon(
                _append_once, fleet, rng.randrange(PARTITIONS), f"p{serial}", observations
            )
            await anyio.sleep(rng.expovariate(20))


async def _watch_acting(fleet: PartitionFleet, observations: Observations) -> None:
    """Record when two nodes may act for one partition at the same time."""
    while True:
        for number in range(PARTITIONS):
            acting = [
                name
                for name, node in fleet.nodes.items()
                if (log := node.partitions.log(number)) is not None and log.has_valid_lease()
            ]
            if len(acting) > 1:
                observations.concurrent_owners.append((anyio.current_time(), number, acting))
        await anyio.sleep(0.01)


async def _kill(fleet: PartitionFleet, rng: random.Random) -> None:
    name = rng.choice(sorted(fleet.nodes))
    fleet.kill(name)
    await anyio.sleep(rng.uniform(0.1, 20))
    await fleet.start(name)


async def _freeze(fleet: PartitionFleet, rng: random.Random) -> None:
    name = rng.choice(sorted(fleet.nodes))
    host = fleet.nodes[name].host
    fleet.network.freeze(host)
    await anyio.sleep(rng.choice([0.3, 1.5, 2.5, 10, 30]))
    fleet.network.thaw(host)


async def _cut(fleet: PartitionFleet, rng: random.Random) -> None:
    first, second = rng.sample(sorted(fleet.names), 2)
    hosts = [fleet.address_of(name).split(":")[0] for name in (first, second)]
    fleet.network.cut(*hosts)
    await anyio.sleep(rng.uniform(0.2, 15))
    fleet.network.heal(*hosts)


async def _silence_link(fleet: PartitionFleet, rng: random.Random) -> None:
    first, second = rng.sample(sorted(fleet.names), 2)
    hosts = [fleet.address_of(name).split(":")[0] for name in (first, second)]
    fleet.network.silence(*hosts)


async def _store_out(fleet: PartitionFleet, rng: random.Random) -> None:
    fleet.store_out = True
    await anyio.sleep(rng.uniform(0.5, 30))
    fleet.store_out = False


async def _store_slow(fleet: PartitionFleet, rng: random.Random) -> None:
    fleet.store_delay_s = rng.choice([0.05, 0.4, 1.5])
    await anyio.sleep(rng.uniform(1, 20))
    fleet.store_delay_s = 0.003


async def _lose_store_messages(fleet: PartitionFleet, rng: random.Random) -> None:
    node = fleet.nodes[rng.choice(sorted(fleet.nodes))]
    node.store.replies_to_lose += rng.randrange(3)
    node.store.requests_to_lose += rng.randrange(3)


async def _stop(fleet: PartitionFleet, rng: random.Random) -> None:
    name = rng.choice(sorted(fleet.nodes))
    fleet.set_state(name, MemberState.LEAVING)
    node = fleet.nodes[name]
    with anyio.move_on_after(20):
        await node.partitions.leave()
    if fleet.nodes.get(name) is node:
        fleet.kill(name)
        await anyio.sleep(rng.uniform(0.1, 5))
        await fleet.start(name)


FAULTS = [_kill, _freeze, _cut, _silence_link, _store_out, _store_slow, _lose_store_messages, _stop]


async def _run_exclusively(
    fault: Any, fleet: PartitionFleet, rng: random.Random, running: set[Any]
) -> None:
    """Run a fault unless one of its kind is running; always keep at least four nodes alive."""
    if fault in running or (fault in (_kill, _stop) and len(fleet.nodes) < 5):
        return
    running.add(fault)
    await fault(fleet, rng)
    running.discard(fault)


async def _inject_faults(
    fleet: PartitionFleet, observations: Observations, rng: random.Random
) -> None:
    running: set[Any] = set()
    async with anyio.create_task_group() as tasks:
        end = anyio.current_time() + FAULT_DURATION_S
        while anyio.current_time() < end:
            fault = rng.choice(FAULTS)
            observations.faults[fault.__name__] = observations.faults.get(fault.__name__, 0) + 1
            tasks.start_soon(_run_exclusively, fault, fleet, rng, running)
            await anyio.sleep(rng.expovariate(1 / 4))


async def run_random_faults(fleet: PartitionFleet, seed: int) -> Observations:
    """Run callers and faults, then wait until every partition has a working pair."""
    rng = random.Random(seed)
    observations = Observations()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_append_continuously, fleet, observations, rng)
        tasks.start_soon(_watch_acting, fleet, observations)
        await _inject_faults(fleet, observations, rng)
        await fleet.wait_owned(120)
        await anyio.sleep(30)
        tasks.cancel_scope.cancel()
    await fleet.wait_owned(120)
    return observations


def unnoticed_losses(
    fleet: PartitionFleet, observations: Observations
) -> list[tuple[int, str, int]]:
    """Return acknowledged entries that are missing although the incarnation is unchanged."""
    missing = []
    for number, name, incarnation in observations.acked:
        state = fleet.owner(number).partitions.log(number).state
        if name not in state.programs and state.incarnation == incarnation:
            missing.append((number, name, incarnation))
    return missing


class RandomFaultsTest(unittest.TestCase):
    def test_no_acknowledged_entry_is_lost_unnoticed_and_only_one_node_may_act(self) -> None:
        async def body(fleet: PartitionFleet) -> Observations:
            observations = await run_random_faults(fleet, seed)
            self.assertEqual(unnoticed_losses(fleet, observations), [])
            self.assertEqual(observations.concurrent_owners, [])
            return observations

        for seed in SEEDS:
            with self.subTest(seed=seed):
                observations = run_fleet(body, nodes=6, partitions=PARTITIONS, seed=seed)
                self.assertGreater(len(observations.acked), 500)


if __name__ == "__main__":
    unittest.main()
