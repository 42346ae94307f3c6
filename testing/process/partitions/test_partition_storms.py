"""Random faults against ownership and journal: what was acknowledged stays, and one node acts."""

from __future__ import annotations

import random
import unittest
from typing import Any

import anyio
from result import Err
from result import Ok

from bramleylead.process.membership._members import MemberState
from testing.process._partition_fleet import PartitionFleet
from testing.process._partition_fleet import opened
from testing.process._partition_fleet import run_fleet

PARTITIONS = 4
STORM_S = 120.0
SEEDS = (8, 14, 105)


class Ledger:
    """What callers were told, apart from the nodes."""

    def __init__(self) -> None:
        self.acked: list[tuple[int, str, int]] = []
        self.solo = 0
        self.refused = 0
        self.both_may_act: list[tuple[float, int, list[str]]] = []
        self.faults: dict[str, int] = {}


async def _call(fleet: PartitionFleet, number: int, name: str, ledger: Ledger) -> None:
    for node in list(fleet.nodes.values()):
        log = node.partitions.log(number)
        if log is None:
            continue
        outcome = await log.append(opened(name))
        if outcome == Ok(True):
            ledger.acked.append((number, name, log.state.incarnation))
            return
        ledger.solo += outcome == Ok(False)
        ledger.refused += isinstance(outcome, Err)


async def _callers(fleet: PartitionFleet, ledger: Ledger, rng: random.Random) -> None:
    at = 0
    async with anyio.create_task_group() as tasks:
        while True:
            at += 1
            tasks.start_soon(_call, fleet, rng.randrange(PARTITIONS), f"p{at}", ledger)
            await anyio.sleep(rng.expovariate(20))


async def _watch_acting(fleet: PartitionFleet, ledger: Ledger) -> None:
    """Look for two nodes that may act for one partition at the same time."""
    while True:
        for number in range(PARTITIONS):
            acting = [
                name
                for name, node in fleet.nodes.items()
                if (log := node.partitions.log(number)) is not None and log.may_act()
            ]
            if len(acting) > 1:
                ledger.both_may_act.append((anyio.current_time(), number, acting))
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


async def _silence(fleet: PartitionFleet, rng: random.Random) -> None:
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


async def _lose(fleet: PartitionFleet, rng: random.Random) -> None:
    node = fleet.nodes[rng.choice(sorted(fleet.nodes))]
    node.store.lose_replies += rng.randrange(3)
    node.store.lose_requests += rng.randrange(3)


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


FAULTS = [_kill, _freeze, _cut, _silence, _store_out, _store_slow, _lose, _stop]


async def _guarded(fault: Any, fleet: PartitionFleet, rng: random.Random, busy: set[Any]) -> None:
    """Run a fault, but no second of its kind at once, and leave four nodes alive."""
    if fault in busy or (fault in (_kill, _stop) and len(fleet.nodes) < 5):
        return
    busy.add(fault)
    await fault(fleet, rng)
    busy.discard(fault)


async def _storm(fleet: PartitionFleet, ledger: Ledger, rng: random.Random) -> None:
    busy: set[Any] = set()
    async with anyio.create_task_group() as tasks:
        end = anyio.current_time() + STORM_S
        while anyio.current_time() < end:
            fault = rng.choice(FAULTS)
            ledger.faults[fault.__name__] = ledger.faults.get(fault.__name__, 0) + 1
            tasks.start_soon(_guarded, fault, fleet, rng, busy)
            await anyio.sleep(rng.expovariate(1 / 4))


async def storm(fleet: PartitionFleet, seed: int) -> Ledger:
    """Run callers and faults, then wait for quiet and compare what was told with what is kept."""
    rng = random.Random(seed)
    ledger = Ledger()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_callers, fleet, ledger, rng)
        tasks.start_soon(_watch_acting, fleet, ledger)
        await _storm(fleet, ledger, rng)
        await fleet.wait_owned(120)
        await anyio.sleep(30)
        tasks.cancel_scope.cancel()
    await fleet.wait_owned(120)
    return ledger


def lost(fleet: PartitionFleet, ledger: Ledger) -> list[tuple[int, str, int]]:
    """Return what was acknowledged, is not there, and nobody was told about."""
    missing = []
    for number, name, incarnation in ledger.acked:
        state = fleet.owner(number).partitions.log(number).state
        if name not in state.programs and state.incarnation == incarnation:
            missing.append((number, name, incarnation))
    return missing


class StormTest(unittest.TestCase):
    def test_nothing_acknowledged_is_lost_in_silence_and_one_node_acts(self) -> None:
        async def body(fleet: PartitionFleet) -> Ledger:
            ledger = await storm(fleet, seed)
            self.assertEqual(lost(fleet, ledger), [])
            self.assertEqual(ledger.both_may_act, [])
            return ledger

        for seed in SEEDS:
            with self.subTest(seed=seed):
                ledger = run_fleet(body, nodes=6, partitions=PARTITIONS, seed=seed)
                self.assertGreater(len(ledger.acked), 500)


if __name__ == "__main__":
    unittest.main()
