"""Stalls of programs under faults, as the bench of recovery measures them."""

from __future__ import annotations

import unittest

import structlog
from structlog.testing import LogCapture

from bramleylead.bench._recovery import measure
from bramleylead.bench._recovery_faults import FAULTS

KILL_P99_S = 5.0
STOP_P99_S = 0.1
DATA_CENTRE_P99_S = 10.0
PROGRAMS = 12
"""So few that the 99th percentile is the largest value."""
MANY_PROGRAMS = 101


def p99_s(fault: str, programs: int = PROGRAMS) -> float:
    """Return the bench's figure with one seed."""
    figures = measure(fault, FAULTS[fault](0.0), seeds=1, programs=programs)
    return next(item.value for item in figures if item.name == f"recovery.{fault}_p99_s")


class RecoveryTest(unittest.TestCase):
    def setUp(self) -> None:
        structlog.configure(processors=[LogCapture()])
        self.addCleanup(structlog.reset_defaults)

    def test_a_killed_vm_stalls_no_program_for_long(self) -> None:
        self.assertLessEqual(p99_s("kill"), KILL_P99_S)

    def test_a_planned_stop_is_hardly_noticed(self) -> None:
        self.assertLessEqual(p99_s("stop", MANY_PROGRAMS), STOP_P99_S)

    def test_calls_go_elsewhere_when_a_data_centre_is_lost(self) -> None:
        """Fault: owners went on asking the pool whose endpoints all refused connections."""
        self.assertLessEqual(p99_s("data_centre"), DATA_CENTRE_P99_S)
