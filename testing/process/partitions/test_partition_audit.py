"""A pair that is cut off from the fleet while another node recovers its partition."""

from __future__ import annotations

import unittest

import anyio
from result import Ok

from bramleylead.fleet._members import MemberState
from bramleylead.process.partitions._partition_audit import EXPIRY_CHECK_INTERVAL_S
from bramleylead.process.partitions._partition_audit import RECOVERY_DELAY_S
from bramleylead.process.partitions._partition_audit import VERIFICATION_VALID_S
from testing.process._partition_fleet import PartitionFleet
from testing.process._partition_fleet import program_opened
from testing.process._partition_fleet import run_fleet

APPEND_INTERVAL_S = 0.2
RECOVERY_TIMEOUT_S = 40.0


class CutOffPairTest(unittest.TestCase):
    def test_recovery_delay_exceeds_the_validity_of_every_verification(self) -> None:
        self.assertGreater(
            RECOVERY_DELAY_S, (VERIFICATION_VALID_S + EXPIRY_CHECK_INTERVAL_S) * 1.02
        )

    def test_entries_of_a_cut_off_pair_are_kept_or_reported_as_lost(self) -> None:
        """Regression: a cut-off pair and the node that had recovered its partition both served."""

        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            log = owner.partitions.log(0)
            pair = {owner.name, log.record.second.node}
            others = [name for name in fleet.nodes if name not in pair]
            for name in pair:
                fleet.cut(name, *others)
                fleet.set_state(name, MemberState.DEAD)
            acknowledged: list[str] = []
            acknowledged_after_recovery: list[str] = []

            async def append_continuously() -> None:
                for serial in range(10_000):
                    program = f"p{serial}"
                    if isinstance(await log.append(program_opened(program)), Ok):
                        recovered = any(name in others for name in fleet.owners(0))
                        (acknowledged_after_recovery if recovered else acknowledged).append(program)
                    await anyio.sleep(APPEND_INTERVAL_S)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(append_continuously)
                await fleet.wait_until(
                    lambda: any(name in others for name in fleet.owners(0)),
                    timeout_s=RECOVERY_TIMEOUT_S,
                )
                await anyio.sleep(5.0)
                tasks.cancel_scope.cancel()
            (name,) = [name for name in fleet.owners(0) if name in others]
            state = fleet.nodes[name].partitions.log(0).state
            self.assertEqual(acknowledged_after_recovery, [])
            self.assertGreater(len(acknowledged), 10)
            missing = [program for program in acknowledged if program not in state.programs]
            self.assertTrue(not missing or state.incarnation > 1)

        run_fleet(body, nodes=4, partitions=4)


if __name__ == "__main__":
    unittest.main()
