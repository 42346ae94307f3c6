"""Who may start while the replicas are full, where the deployment has customers."""

from __future__ import annotations

import random
import unittest

from bramleylead.placement._admission import FULL_EXCESS
from bramleylead.placement._admission import LATE_PROGRAM_MAX_LOAD
from bramleylead.placement._admission import MAX_OVER_SHARE_RETRY_AFTER_S
from bramleylead.placement._admission import MIN_RETRY_AFTER_S
from bramleylead.placement._admission import NEW_PROGRAM_MAX_LOAD
from bramleylead.placement._admission import OVER_SHARE_MAX_LOAD
from bramleylead.placement._admission import PLAIN_MAX_LOAD
from bramleylead.placement._admission import PLAIN_OVER_SHARE_MAX_LOAD
from bramleylead.placement._admission import Progress
from bramleylead.placement._admission import Refusal
from bramleylead.placement._admission import RefusalReason
from bramleylead.placement._admission import ServiceLoad
from bramleylead.placement._admission import Standing
from bramleylead.placement._admission import check_admission
from bramleylead.placement._admission import check_customer_admission
from bramleylead.placement._admission import check_plain_admission
from bramleylead.placement._admission import new_program_max_load
from bramleylead.placement._customer_use import NO_USE
from bramleylead.placement._customer_use import Use

NEW = Progress(0, 0)
SLOTS = 100
TURN_S = 0.35
FLOOD = Use(fleet=6.0)
AMPLE_S = 60.0
STANDING = Standing(NO_USE, 0, False, AMPLE_S, AMPLE_S)


def check(
    load_per_slot: float,
    progress: Progress = NEW,
    *,
    use: Use = NO_USE,
    less_urgent: int = 0,
    begun: bool = False,
    left_s: float = AMPLE_S,
    value_left_s: float = AMPLE_S,
    seed: int = 1,
) -> Refusal | None:
    standing = Standing(use, less_urgent, begun, left_s, value_left_s)
    load = ServiceLoad(load_per_slot * SLOTS, SLOTS)
    return check_customer_admission(
        load, progress, standing, turn_s=TURN_S, rng=random.Random(seed)
    )


def max_load(use: Use, *, refusals: int = 0, less_urgent: int = 0) -> float:
    standing = STANDING._replace(use=use, less_urgent_priorities=less_urgent)
    return new_program_max_load(Progress(0, refusals), standing)


class ShareTest(unittest.TestCase):
    # Guards against a division by zero: a customer starts programs here and has sent nothing yet.
    def test_a_surge_of_a_customer_whose_use_is_not_known_is_refused(self) -> None:
        refusal = check(1.0, use=Use(surge=8.0, surge_tolerance=1.0))
        self.assertIsNotNone(refusal)
        self.assertEqual(refusal.reason, RefusalReason.OVER_SHARE)
        self.assertGreaterEqual(refusal.retry_after_s, MIN_RETRY_AFTER_S)

    # Guards against other bounds for customers within their share than deployments have today.
    def test_a_customer_within_its_share_has_the_bounds_of_today(self) -> None:
        for load in (0.5, 0.99, 1.01, 1.12, 1.2, 1.4, 2.0):
            for refusals in range(4):
                for less_urgent in range(3):
                    progress = Progress(0, refusals)
                    today = check_admission(
                        ServiceLoad(load * SLOTS, SLOTS),
                        progress,
                        less_urgent_priorities=less_urgent,
                        turn_s=TURN_S,
                        rng=random.Random(1),
                    )
                    found = check(load, progress, use=Use(0.9, 0.9), less_urgent=less_urgent)
                    self.assertEqual(found, today)

    # Guards against a flood that takes the room of others.
    def test_a_flood_is_refused_at_a_lower_load(self) -> None:
        load = OVER_SHARE_MAX_LOAD + 0.01
        self.assertIsNone(check(load))
        refusal = check(load, use=FLOOD)
        self.assertEqual(refusal.reason, RefusalReason.OVER_SHARE)
        self.assertIn("6.00 of its share", refusal.detail)

    # Guards against idle slots: a customer may use room that nobody else needs.
    def test_a_flood_is_served_while_there_is_room(self) -> None:
        self.assertIsNone(check(OVER_SHARE_MAX_LOAD - 0.01, use=FLOOD))

    def test_the_load_falls_with_the_excess_and_stays_above_its_lowest(self) -> None:
        loads = [max_load(Use(fleet=1.0 + FULL_EXCESS * part / 10)) for part in range(30)]
        self.assertEqual(loads, sorted(loads, reverse=True))
        self.assertEqual(loads[0], NEW_PROGRAM_MAX_LOAD)
        self.assertAlmostEqual(loads[-1], OVER_SHARE_MAX_LOAD)

    # Guards against a flood that gets past the others by returning often enough.
    def test_returns_and_urgency_don_t_lift_a_flood_over_customers_within_their_share(self) -> None:
        self.assertLess(max_load(FLOOD, refusals=50, less_urgent=10), NEW_PROGRAM_MAX_LOAD)


class OrderTest(unittest.TestCase):
    USES = (NO_USE, Use(fleet=1.2), FLOOD)

    # Guards against kinds that are served worse than less urgent ones.
    def test_a_more_urgent_program_never_starts_at_a_lower_load(self) -> None:
        for use in self.USES:
            for refusals in range(8):
                loads = [max_load(use, refusals=refusals, less_urgent=n) for n in range(12)]
                self.assertEqual(loads, sorted(loads))

    # Guards against many priorities that lift the urgent ones to any load.
    def test_urgency_is_bounded(self) -> None:
        self.assertEqual(max_load(NO_USE, less_urgent=3), max_load(NO_USE, less_urgent=40))

    # Guards against programs that are refused for ever, as newer ones start before them.
    def test_a_refused_program_never_starts_at_a_lower_load_than_a_newer_one(self) -> None:
        for use in self.USES:
            loads = [max_load(use, refusals=refusals) for refusals in range(12)]
            self.assertEqual(loads, sorted(loads))


class TimeTest(unittest.TestCase):
    # Guards against requests that are held until their deadline though they can't be served.
    def test_a_new_program_without_time_for_a_turn_is_refused_at_any_load(self) -> None:
        refusal = check(0.1, left_s=0.1)
        self.assertEqual(refusal.reason, RefusalReason.TIME_TOO_SHORT)
        self.assertIsNone(check(0.1, left_s=TURN_S))

    def test_a_longer_queue_needs_more_time(self) -> None:
        returned = Progress(0, 9)
        self.assertIsNone(check(2.0, returned, left_s=2 * TURN_S))
        self.assertIsNotNone(check(2.0, returned, left_s=TURN_S))

    # Guards against programs that are lost in their middle.
    def test_a_begun_program_in_its_time_is_never_refused(self) -> None:
        for progress in (Progress(1, 3), NEW):
            self.assertIsNone(
                check(10.0, progress, use=FLOOD, begun=True, left_s=0.01, value_left_s=0.01)
            )

    def test_a_begun_program_past_twice_its_time_is_served_last(self) -> None:
        late = {"begun": True, "left_s": -1.0, "value_left_s": -1.0}
        refusal = check(LATE_PROGRAM_MAX_LOAD + 0.01, Progress(3, 0), **late)
        self.assertEqual(refusal.reason, RefusalReason.PAST_ITS_TIME)
        self.assertIsNone(check(LATE_PROGRAM_MAX_LOAD + 0.01))
        self.assertIsNone(check(LATE_PROGRAM_MAX_LOAD - 0.01, Progress(3, 0), **late))


class RetryAfterTest(unittest.TestCase):
    # Guards against callers that all come back at the same moment.
    def test_returns_of_a_flood_are_spread(self) -> None:
        delays = [check(1.0, use=Use(fleet=1.6), seed=seed).retry_after_s for seed in range(200)]
        self.assertGreater(max(delays), 2 * min(delays))
        self.assertGreaterEqual(min(delays), MIN_RETRY_AFTER_S)
        self.assertLessEqual(max(delays), MAX_OVER_SHARE_RETRY_AFTER_S)

    # Guards against callers that are told to return when their time is over.
    def test_a_caller_returns_while_its_time_covers_a_turn(self) -> None:
        for seed in range(50):
            refusal = check(1.5, use=FLOOD, left_s=1.5, seed=seed)
            self.assertLessEqual(refusal.retry_after_s, 1.5 - TURN_S / 2)


class PlainCallTest(unittest.TestCase):
    def check(
        self, load_per_slot: float, *, use: Use = NO_USE, in_program: bool = False
    ) -> Refusal | None:
        return check_plain_admission(
            ServiceLoad(load_per_slot * SLOTS, SLOTS),
            use,
            in_program=in_program,
            request_s=0.1,
            rng=random.Random(1),
        )

    # Guards against calls outside programs that fill the queues before those of programs.
    def test_calls_outside_programs_leave_room_for_those_of_programs(self) -> None:
        self.assertIsNotNone(self.check(PLAIN_MAX_LOAD + 0.1))
        self.assertIsNone(self.check(PLAIN_MAX_LOAD + 0.1, in_program=True))
        self.assertIsNone(self.check(PLAIN_MAX_LOAD - 0.1))

    def test_those_of_a_flood_are_refused_once_the_replicas_are_full(self) -> None:
        self.assertIsNotNone(self.check(PLAIN_OVER_SHARE_MAX_LOAD + 0.1, use=FLOOD))
        self.assertIsNone(self.check(PLAIN_OVER_SHARE_MAX_LOAD + 0.1, use=FLOOD, in_program=True))
        self.assertIsNone(self.check(PLAIN_OVER_SHARE_MAX_LOAD - 0.1, use=FLOOD))
