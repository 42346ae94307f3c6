"""Regression tests for ownership faults that were found by random runs."""

from __future__ import annotations

import unittest

import anyio
from pydantic import ValidationError
from result import Ok

from bramleylead.process.partitions._pending_append import ReplicationMode
from testing.process._partition_fleet import PartitionFleet
from testing.process._partition_fleet import program_opened
from testing.process._partition_fleet import run_fleet


class RegressionTest(unittest.TestCase):
    def test_a_partition_retired_on_a_live_link_is_taken_over(self) -> None:
        """Heartbeats of a shared link kept confirming a partition that its owner had retired."""

        async def body(fleet: PartitionFleet) -> None:
            name = fleet.owner(0).name
            table = fleet.nodes[name].partitions.table
            self.assertGreater(len(table.owned), 1)
            second = table.owned[0].record.second.node
            table.retire(table.owned[0])
            await fleet.wait_until(lambda: fleet.owners(0) == [second], timeout_s=5)

        run_fleet(body, nodes=2, partitions=8)

    def test_a_completed_takeover_is_not_undone_by_a_store_outage(self) -> None:
        """The second copy accepted the old owner again although its own write had succeeded."""

        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            log = owner.partitions.log(0)
            second = fleet.nodes[log.record.second.node]
            epoch = log.epoch
            owner.store.unavailable = True
            fleet.cut(owner.name, second.name)
            second.store.replies_to_lose = 1
            fleet.store_delay_s = 0.9
            await fleet.wait_until(
                lambda: fleet.store._objects["partitions/00000"].version > log.stored.version,
                timeout_s=20,
            )
            fleet.store_out = True
            fleet.heal(owner.name, second.name)
            await anyio.sleep(15)
            self.assertNotEqual(log.mode, ReplicationMode.PAIRED)
            self.assertFalse(log.has_valid_lease())
            fleet.store_out = owner.store.unavailable = False
            fleet.store_delay_s = 0.003
            await fleet.wait_owned(30)
            self.assertGreater(fleet.owner(0).partitions.log(0).epoch, epoch)
            self.assertEqual(await fleet.append(0, program_opened("p1")), Ok(True))

        run_fleet(body)

    def test_rebalancing_does_not_break_pairs_during_a_store_outage(self) -> None:
        """A pair was broken repeatedly for a move that could not be written to the store."""

        async def body(fleet: PartitionFleet) -> None:
            fleet.kill("n6")
            await fleet.wait_owned(30)
            fleet.store_out = True
            await fleet.start("n6")
            for _ in range(40):
                await anyio.sleep(0.5)
                logs = [fleet.owner(number).partitions.log(number) for number in range(12)]
                self.assertEqual(
                    [log for log in logs if log.mode is not ReplicationMode.PAIRED], []
                )

        run_fleet(body, nodes=6, partitions=12)

    def test_settings_that_allow_a_takeover_during_the_act_lease_are_rejected(self) -> None:
        async def body(fleet: PartitionFleet) -> None:
            self.fail("the fleet must not start")

        with self.assertRaises(ExceptionGroup) as raised:
            run_fleet(body, takeover_after_s=1.0, act_lease_s=2.0)
        leaf = _first_leaf(raised.exception)
        assert isinstance(leaf, ValidationError)
        (detail,) = leaf.errors()
        self.assertEqual(detail["loc"], ("partitions", "act_lease_s"))


def _first_leaf(error: BaseException) -> BaseException:
    """Return the first leaf exception of nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


if __name__ == "__main__":
    unittest.main()
