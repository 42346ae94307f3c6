"""The survey of partitions in a whole fleet at rest."""

from __future__ import annotations

import unittest
from unittest import mock

import anyio

from bramleylead.process.partitions import _partition_survey
from bramleylead.process.partitions._partition_messages import Assign
from bramleylead.process.partitions._partition_record import list_records
from bramleylead.process.partitions._partition_survey import QUIET_ROUND_S
from bramleylead.standins import run_virtual
from bramleylead.trials._deployments import ratsakool
from bramleylead.trials._fleet import running_fleet

SETTLED_S = 40.0
ROUNDS = 3


class SurveyTest(unittest.TestCase):
    def test_a_whole_fleet_is_surveyed_at_the_quiet_rate(self) -> None:
        """Live partitions were taken for orphans once their holder's ticket number was heard.

        The surveyor then listed all objects each second, and asked nodes each second to recover
        what they owned.
        """

        async def body() -> tuple[int, int]:
            async with running_fleet(ratsakool(), seed=1):
                await anyio.sleep(SETTLED_S)
                lists = mock.patch.object(_partition_survey, "list_records", wraps=list_records)
                given = mock.patch.object(_partition_survey, "Assign", wraps=Assign)
                with lists as listed, given as assigned:
                    await anyio.sleep(ROUNDS * QUIET_ROUND_S)
                    return listed.call_count, assigned.call_count

        listed, assigned = run_virtual(body, seed=1)
        self.assertLessEqual(listed, ROUNDS + 1)
        self.assertEqual(assigned, 0)
