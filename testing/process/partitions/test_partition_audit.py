"""A pair that is cut off together from the rest, while the rest recovers its partition."""

from __future__ import annotations

import unittest

import anyio
from result import Ok

from bramleylead.process.membership._members import MemberState
from bramleylead.process.partitions._partition_audit import EXPIRY_CHECK_S
from bramleylead.process.partitions._partition_audit import PROOF_VALID_S
from bramleylead.process.partitions._partition_audit import RECOVERY_WAIT_S
from testing.process._partition_fleet import PartitionFleet
from testing.process._partition_fleet import opened
from testing.process._partition_fleet import run_fleet

APPEND_EVERY_S = 0.2
WITHIN_S = 40.0


class CutOffPairTest(unittest.TestCase):
    def test_a_recovery_outlasts_every_proof_of_the_former_owner(self) -> None:
        self.assertGreater(RECOVERY_WAIT_S, (PROOF_VALID_S + EXPIRY_CHECK_S) * 1.02)

    def test_what_a_cut_off_pair_acknowledged_is_kept_or_told_as_lost(self) -> None:
        """Fault: both a cut-off pair and the recovery of its partition went on serving."""

        async def body(fleet: PartitionFleet) -> None:
            owner = fleet.owner(0)
            log = owner.partitions.log(0)
            pair = {owner.name, log.record.second.node}
            rest = [name for name in fleet.nodes if name not in pair]
            for name in pair:
                fleet.cut(name, *rest)
                fleet.set_state(name, MemberState.DEAD)
            acknowledged: list[str] = []
            late: list[str] = []

            async def append_on() -> None:
                for serial in range(10_000):
                    program = f"p{serial}"
                    if isinstance(await log.append(opened(program)), Ok):
                        served = any(name in rest for name in fleet.owners(0))
                        (late if served else acknowledged).append(program)
                    await anyio.sleep(APPEND_EVERY_S)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(append_on)
                await fleet.wait_until(
                    lambda: any(name in rest for name in fleet.owners(0)), within_s=WITHIN_S
                )
                await anyio.sleep(5.0)
                tasks.cancel_scope.cancel()
            (name,) = [name for name in fleet.owners(0) if name in rest]
            state = fleet.nodes[name].partitions.log(0).state
            self.assertEqual(late, [])
            self.assertGreater(len(acknowledged), 10)
            missing = [program for program in acknowledged if program not in state.programs]
            self.assertTrue(not missing or state.incarnation > 1)

        run_fleet(body, nodes=4, partitions=4)


if __name__ == "__main__":
    unittest.main()
