"""Tests of flushes to the store and of the recovery after both copies are lost."""

from __future__ import annotations

import unittest

import anyio
from result import Ok

from bramleylead.fleet._members import MemberState
from bramleylead.process.journal._entries import ProgramForgotten
from bramleylead.process.partitions._partition import OwnedPartition
from testing.process._partition_fleet import PartitionFleet
from testing.process._partition_fleet import program_opened
from testing.process._partition_fleet import run_fleet


async def _kill_pair(fleet: PartitionFleet, number: int) -> None:
    owner = fleet.owner(number)
    second = owner.partitions.log(number).record.second.node
    fleet.kill(owner.name)
    fleet.kill(second)


class PairLossTest(unittest.TestCase):
    def test_flushed_entries_survive_and_incarnation_rises(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            await fleet.append(0, program_opened("flushed"))
            await anyio.sleep(7)
            await fleet.append(0, program_opened("not flushed"))
            await _kill_pair(fleet, 0)
            await fleet.wait_until(lambda: len(fleet.owners(0)) == 1, timeout_s=20)
            state = fleet.owner(0).partitions.log(0).state
            self.assertEqual(list(state.programs), ["flushed"])
            self.assertEqual(state.incarnation, 2)
            self.assertEqual(state.programs["flushed"].incarnation, 2)
            self.assertEqual(await fleet.append(0, program_opened("after")), Ok(True))

        run_fleet(body, nodes=6)

    def test_recovered_state_survives_second_loss_of_both_copies(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            await fleet.append(0, program_opened("first"))
            await anyio.sleep(7)
            await _kill_pair(fleet, 0)
            await fleet.wait_owned(20)
            await fleet.append(0, program_opened("second"))
            await anyio.sleep(7)
            await _kill_pair(fleet, 0)
            await fleet.wait_owned(20)
            state = fleet.owner(0).partitions.log(0).state
            self.assertEqual(sorted(state.programs), ["first", "second"])
            self.assertEqual(state.incarnation, 3)

        run_fleet(body, nodes=6)

    def test_isolated_pair_stops_serving_when_reconnected(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            await fleet.append(0, program_opened("p1"))
            await anyio.sleep(7)
            owner = fleet.owner(0)
            log: OwnedPartition = owner.partitions.log(0)
            pair = [owner.name, log.record.second.node]
            rest = [name for name in fleet.names if name not in pair]
            for name in pair:
                fleet.cut(name, *rest)
                fleet.nodes[name].store.unavailable = True
                fleet.set_state(name, MemberState.DEAD)
            await fleet.wait_until(lambda: len(fleet.owners(0)) == 2, timeout_s=20)
            for name in pair:
                fleet.heal(name, *rest)
                fleet.nodes[name].store.unavailable = False
                fleet.set_state(name, MemberState.ALIVE)
            await fleet.wait_until(lambda: len(fleet.owners(0)) == 1, timeout_s=20)
            self.assertIn(fleet.owner(0).name, rest)
            self.assertEqual(fleet.owner(0).partitions.log(0).state.incarnation, 2)

        run_fleet(body, nodes=6)


class TruncationTest(unittest.TestCase):
    def test_stored_journal_does_not_grow_with_age(self) -> None:
        async def stored_objects_after(fleet: PartitionFleet, hours: float) -> tuple[int, int]:
            end_at = anyio.current_time() + hours * 3600
            number = 0
            while anyio.current_time() < end_at:
                number += 1
                await fleet.append(0, program_opened(f"p{number}" + "x" * 20_000))
                if number > 5:
                    await fleet.append(0, ProgramForgotten(f"p{number - 5}" + "x" * 20_000))
                await anyio.sleep(5)
            objects = [
                item for item in fleet.store._objects.values() if item.key.startswith("journal/")
            ]
            return len(objects), sum(len(item.value) for item in objects)

        async def body(fleet: PartitionFleet) -> None:
            young = await stored_objects_after(fleet, 0.1)
            old = await stored_objects_after(fleet, 0.7)
            self.assertLess(young[1], 2_500_000)
            self.assertLess(old[1], 2_500_000)
            self.assertLess(old[0], 100)

        run_fleet(body)

    def test_state_larger_than_an_object_is_split_and_joined(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            names = [f"p{number}" + "x" * 400_000 for number in range(8)]
            for name in names:
                await fleet.append(0, program_opened(name))
            await anyio.sleep(30)
            await _kill_pair(fleet, 0)
            await fleet.wait_owned(30)
            state = fleet.owner(0).partitions.log(0).state
            self.assertEqual(sorted(state.programs), sorted(names))

        run_fleet(body, nodes=6)


if __name__ == "__main__":
    unittest.main()
