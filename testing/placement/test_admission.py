"""Who may start a program while the replicas are full, and when others are told to return."""

from __future__ import annotations

import random
import unittest

from bramleylead.placement._admission import MAX_RETRY_AFTER_S
from bramleylead.placement._admission import MIN_RETRY_AFTER_S
from bramleylead.placement._admission import NEW_PROGRAM_MAX_LOAD
from bramleylead.placement._admission import REFUSAL_STEP
from bramleylead.placement._admission import Progress
from bramleylead.placement._admission import Refusal
from bramleylead.placement._admission import ServiceLoad
from bramleylead.placement._admission import check_admission

NEW = Progress(0, 0)
SLOTS = 100
RNG = random.Random(1)
TURN_S = 0.35


def check(
    load_per_slot: float, progress: Progress = NEW, *, less_urgent: int = 0, slots: int = SLOTS
) -> Refusal | None:
    load = ServiceLoad(load_per_slot * slots, slots)
    return check_admission(
        load, progress, less_urgent_priorities=less_urgent, turn_s=TURN_S, rng=RNG
    )


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        RNG.seed(1)

    def test_a_new_program_starts_while_there_is_room(self) -> None:
        self.assertIsNone(check(NEW_PROGRAM_MAX_LOAD - 0.01))
        self.assertIsNotNone(check(NEW_PROGRAM_MAX_LOAD + 0.01))

    def test_a_program_under_way_is_never_refused(self) -> None:
        self.assertIsNone(check(10.0, Progress(turns=1, refusals=3)))

    def test_a_more_urgent_program_starts_at_a_higher_load(self) -> None:
        load = NEW_PROGRAM_MAX_LOAD + 0.05
        self.assertIsNotNone(check(load))
        self.assertIsNone(check(load, less_urgent=1))

    def test_a_program_that_was_refused_starts_before_a_new_one(self) -> None:
        load = NEW_PROGRAM_MAX_LOAD + 1.5 * REFUSAL_STEP
        self.assertIsNotNone(check(load, Progress(0, 1)))
        self.assertIsNone(check(load, Progress(0, 2)))

    def test_callers_are_spread_over_the_time_until_room_is_expected(self) -> None:
        delays = [check(1.5).retry_after_s for _ in range(200)]
        self.assertGreater(max(delays), 2 * min(delays))
        self.assertGreaterEqual(min(delays), MIN_RETRY_AFTER_S)
        self.assertLessEqual(max(delays), MAX_RETRY_AFTER_S)

    def test_nothing_is_refused_where_the_slots_are_unknown(self) -> None:
        self.assertIsNone(check(5.0, slots=0))
