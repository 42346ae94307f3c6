"""Partition scans in a healthy, idle fleet."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from bramleylead.process.partitions import _partition_scanner
from bramleylead.process.partitions._partition_messages import Assign
from bramleylead.process.partitions._partition_record import list_records
from bramleylead.process.partitions._partition_scanner import IDLE_SCAN_INTERVAL_S
from bramleylead.standins import run_virtual
from bramleylead.trials._deployments import ratsakool
from bramleylead.trials._fleet import running_fleet

STARTUP_S = 40.0
ROUNDS = 3


class ScanTest(unittest.TestCase):
    def test_a_healthy_fleet_is_scanned_at_the_idle_interval(self) -> None:
        """Regression: live partitions were considered orphaned after a ticket update of the holder.

        The scanning node then listed all objects every second, and every second asked nodes to
        recover partitions that they owned.
        """

        async def body() -> tuple[int, int]:
            async with running_fleet(ratsakool(), seed=1):
                await anyio.sleep(STARTUP_S)
                list_patch = mock.patch.object(
                    _partition_scanner, "list_records", wraps=list_records
                )
                assign_patch = mock.patch.object(_partition_scanner, "Assign", wraps=Assign)
                with list_patch as listed, assign_patch as assigned:
                    await anyio.sleep(ROUNDS * IDLE_SCAN_INTERVAL_S)
                    return listed.call_count, assigned.call_count

        listed, assigned = run_virtual(body, seed=1)
        self.assertLessEqual(listed, ROUNDS + 1)
        self.assertEqual(assigned, 0)
