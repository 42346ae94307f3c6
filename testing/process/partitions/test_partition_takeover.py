"""Ownership under crashes, pauses, network cuts and lost store replies."""

from __future__ import annotations

import unittest

import anyio
from result import Err
from result import Ok

from bramleylead.errors import ErrorKind
from bramleylead.process.journal._entries import GrantAdded
from bramleylead.process.partitions._pending_append import ReplicationMode
from testing.process._partition_fleet import PartitionFleet
from testing.process._partition_fleet import program_opened
from testing.process._partition_fleet import run_fleet


class PairTest(unittest.TestCase):
    def test_an_acknowledged_append_is_on_both_copies(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            log = owner.partitions.log(0)
            self.assertEqual(await log.append(program_opened("p1"), program_opened("p2")), Ok(True))
            second = fleet.nodes[log.record.second.node]
            copy = second.partitions.replica_server.replicas[0].copy
            self.assertEqual(sorted(copy.state.programs), ["p1", "p2"])
            self.assertEqual((copy.sequence, copy.digest), (log.copy.sequence, log.copy.digest))

        run_fleet(body)

    def test_appends_of_many_programs_share_messages(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            log = fleet.owner(0).partitions.log(0)
            before = fleet.network.sends_by_host[fleet.owner(0).host]
            async with anyio.create_task_group() as tasks:
                for serial in range(100):
                    tasks.start_soon(log.append, program_opened(f"p{serial}"))
            self.assertEqual(len(log.state.programs), 100)
            self.assertLess(fleet.network.sends_by_host[fleet.owner(0).host] - before, 10)

        run_fleet(body)

    def test_the_second_copy_is_in_another_data_centre(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            for number in range(12):
                owner = fleet.owner(number)
                second = owner.partitions.log(number).record.second.node
                self.assertNotEqual(fleet.locations[owner.name][1], fleet.locations[second][1])

        run_fleet(body, nodes=6, partitions=12)


class TakeoverTest(unittest.TestCase):
    def test_a_killed_owner_is_replaced_by_its_second_copy_after_a_timeout(self) -> None:
        async def body(fleet: PartitionFleet) -> float:
            owner = fleet.owner(0)
            await fleet.append(0, program_opened("p1"))
            second = owner.partitions.log(0).record.second.node
            fleet.kill(owner.name)
            takeover_s = await fleet.wait_until(lambda: fleet.owners(0) == [second], timeout_s=5)
            self.assertEqual(await fleet.append(0, program_opened("p2")), Ok(True))
            self.assertEqual(sorted(fleet.owner(0).partitions.log(0).state.programs), ["p1", "p2"])
            return takeover_s

        takeover_s = run_fleet(body)
        self.assertGreaterEqual(takeover_s, 1.5)

    def test_a_killed_second_copy_is_replaced_before_appends_time_out(
        self,
    ) -> None:
        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            second = owner.partitions.log(0).record.second.node
            fleet.kill(second)
            self.assertEqual(await fleet.append(0, program_opened("p1")), Ok(True))
            self.assertEqual(fleet.owners(0), [owner.name])
            self.assertNotEqual(owner.partitions.log(0).record.second.node, second)

        run_fleet(body)

    def test_a_paused_owner_neither_acts_nor_acknowledges_after_its_pause(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            old = fleet.owner(0)
            log = old.partitions.log(0)
            fleet.network.freeze(old.host)
            await fleet.wait_until(lambda: len(fleet.owners(0)) == 2, timeout_s=5)
            fleet.network.thaw(old.host)
            self.assertFalse(log.has_valid_lease())
            outcome = await log.append(program_opened("late"))
            self.assertIsInstance(outcome, Err)
            await fleet.wait_until(lambda: len(fleet.owners(0)) == 1, timeout_s=5)
            self.assertEqual(log.mode, ReplicationMode.LOST)
            self.assertEqual(old.lost_calls, [0])
            self.assertNotIn("late", fleet.owner(0).partitions.log(0).state.programs)

        run_fleet(body)

    def test_a_network_cut_between_the_copies_leaves_one_owner(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            log = owner.partitions.log(0)
            second = log.record.second.node
            fleet.cut(owner.name, second)
            self.assertEqual(await log.append(program_opened("p1")), Ok(True))
            await anyio.sleep(10)
            self.assertEqual(fleet.owners(0), [owner.name])
            self.assertNotIn(0, fleet.nodes[second].partitions.replica_server.replicas)

        run_fleet(body)

    def test_lost_store_replies_during_takeover_do_no_harm(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            await fleet.append(0, program_opened("p1"))
            owner = fleet.owner(0)
            second = owner.partitions.log(0).record.second.node
            fleet.nodes[second].store.replies_to_lose = 1
            fleet.kill(owner.name)
            await fleet.wait_until(lambda: fleet.owners(0) == [second], timeout_s=5)
            self.assertEqual(await fleet.append(0, program_opened("p2")), Ok(True))

        run_fleet(body)

    def test_lost_store_requests_during_repair_do_no_harm(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            log = owner.partitions.log(0)
            owner.store.requests_to_lose = 1
            fleet.kill(log.record.second.node)
            self.assertEqual(await log.append(program_opened("p1")), Ok(True))

        run_fleet(body)


class StoreOutageTest(unittest.TestCase):
    def test_a_working_pair_needs_no_store(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            fleet.store_out = True
            log = fleet.owner(0).partitions.log(0)
            await anyio.sleep(3600)
            self.assertEqual(await log.append(program_opened("p1")), Ok(True))
            self.assertTrue(log.has_valid_lease())

        run_fleet(body)

    def test_without_store_and_second_copy_only_single_copy_entries_are_accepted(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            log = owner.partitions.log(0)
            fleet.store_out = True
            fleet.kill(log.record.second.node)
            await anyio.sleep(8)
            self.assertEqual(await log.append(program_opened("p1")), Ok(False))
            refused = await log.append(GrantAdded("b", 5))
            self.assertEqual(refused.err_value.kind, ErrorKind.NOT_DURABLE)
            self.assertFalse(log.has_valid_lease())
            fleet.store_out = False
            await fleet.wait_owned()
            self.assertEqual(await log.append(program_opened("p3")), Ok(True))
            self.assertEqual(sorted(log.state.programs), ["p1", "p3"])

        run_fleet(body)

    def test_a_node_without_store_access_and_second_copy_rejects_appends(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            log = owner.partitions.log(0)
            owner.store.unavailable = True
            fleet.kill(log.record.second.node)
            await anyio.sleep(5)
            outcome = await log.append(program_opened("p1"))
            self.assertEqual(outcome.err_value.kind, ErrorKind.NOT_DURABLE)

        run_fleet(body)

    def test_an_owner_killed_during_the_outage_is_replaced_after_it(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            await fleet.append(0, program_opened("p1"))
            owner = fleet.owner(0)
            second = owner.partitions.log(0).record.second.node
            fleet.store_out = True
            fleet.kill(owner.name)
            await anyio.sleep(30)
            self.assertEqual(fleet.owners(0), [])
            fleet.store_out = False
            await fleet.wait_until(lambda: fleet.owners(0) == [second], timeout_s=5)

        run_fleet(body)


if __name__ == "__main__":
    unittest.main()
