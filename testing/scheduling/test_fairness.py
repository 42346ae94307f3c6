"""The order of queued calls."""

from __future__ import annotations

import unittest
from collections import Counter

import anyio

from bramleylead.scheduling._decayed import ServedShares
from bramleylead.scheduling._fairness import NEW
from bramleylead.scheduling._fairness import UNDER_WAY
from bramleylead.scheduling._fairness import FairQueue
from bramleylead.scheduling._view import Waiting
from bramleylead.scheduling._working_set import WorkingSet
from bramleylead.standins import run_virtual
from testing.scheduling._pool import slot_request


def _queue(*, between_branches: bool = True, order: str = "attained") -> FairQueue:
    return FairQueue(between_branches=between_branches, order=order, aging_tokens_per_s=1_000.0)


class _Calls:
    def __init__(self) -> None:
        self._serial = 0

    def make(self, branch: str = "b1", *, at_s: float = 0.0, **changes: object) -> Waiting:
        self._serial += 1
        fields: dict[str, object] = {"branch": branch, "attained": 1.0}
        request = slot_request(f"p{self._serial}", **(fields | changes))
        return Waiting(request, self._serial, at_s, 100.0, anyio.Event())


def _drain(queue: FairQueue, count: int, cost: float = 100.0) -> list[Waiting]:
    started = []
    for _ in range(count):
        call = (queue.candidates(UNDER_WAY) or queue.candidates(NEW))[0]
        queue.start(call, cost)
        started.append(call)
    return started


class _InVirtualTime(unittest.TestCase):
    def run(self, result: unittest.TestResult | None = None) -> unittest.TestResult | None:
        async def body() -> unittest.TestResult | None:
            return super(_InVirtualTime, self).run(result)

        return run_virtual(body, seed=1)


class FairQueueTest(_InVirtualTime):
    def test_backlogged_branches_share_by_weight(self) -> None:
        queue, calls = _queue(), _Calls()
        for _ in range(60):
            queue.add(calls.make("heavy", weight=2.0))
            queue.add(calls.make("light", weight=1.0))
        started = Counter(call.request.branch for call in _drain(queue, 60))
        self.assertAlmostEqual(started["heavy"], 40, delta=2)

    def test_a_flood_delays_a_quiet_branch_by_a_bounded_number_of_calls(self) -> None:
        queue, calls = _queue(), _Calls()
        for _ in range(500):
            queue.add(calls.make("flood"))
        _drain(queue, 100)
        queue.add(calls.make("quiet"))
        started = [call.request.branch for call in _drain(queue, 3)]
        self.assertIn("quiet", started)

    def test_an_idle_branch_saves_up_no_credit(self) -> None:
        queue, calls = _queue(), _Calls()
        queue.add(calls.make("sleeper"))
        _drain(queue, 1)
        for _ in range(200):
            queue.add(calls.make("busy"))
        _drain(queue, 100)
        for _ in range(50):
            queue.add(calls.make("sleeper"))
        started = Counter(call.request.branch for call in _drain(queue, 40))
        self.assertAlmostEqual(started["sleeper"], 20, delta=2)

    def test_a_branch_alone_gets_every_slot(self) -> None:
        queue, calls = _queue(), _Calls()
        for _ in range(10):
            queue.add(calls.make("only"))
        self.assertEqual(len(_drain(queue, 10)), 10)

    def test_costs_settled_after_the_call_count(self) -> None:
        queue, calls = _queue(), _Calls()
        for _ in range(40):
            queue.add(calls.make("dear"))
            queue.add(calls.make("cheap"))
        started: Counter[str] = Counter()
        for _ in range(40):
            call = _drain(queue, 1)[0]
            started[call.request.branch] += 1
            queue.settle(call, 300.0 if call.request.branch == "dear" else 100.0)
        self.assertAlmostEqual(started["cheap"] / started["dear"], 3.0, delta=0.7)

    def test_the_program_served_least_goes_first_until_another_has_waited_long(self) -> None:
        queue, calls = _queue(), _Calls()
        long = calls.make(attained=50_000.0, at_s=0.0)
        short = calls.make(attained=10.0, at_s=20.0)
        late = calls.make(attained=10.0, at_s=60.0)
        for call in (long, short, late):
            queue.add(call)
        self.assertEqual(_drain(queue, 3), [short, long, late])

    def test_new_programs_stand_behind_those_under_way(self) -> None:
        queue, calls = _queue(), _Calls()
        new = calls.make(attained=0.0)
        under_way = calls.make(attained=5_000.0)
        queue.add(new)
        queue.add(under_way)
        self.assertEqual(_drain(queue, 2), [under_way, new])

    def test_a_removed_call_is_never_started(self) -> None:
        queue, calls = _queue(), _Calls()
        first, second = calls.make(), calls.make()
        queue.add(first)
        queue.add(second)
        queue.remove(first)
        self.assertEqual(_drain(queue, 1), [second])
        self.assertEqual(queue.candidates(UNDER_WAY), [])
        self.assertEqual(queue.queued_tokens(UNDER_WAY), 0)

    def test_the_calls_ahead_are_counted_by_share(self) -> None:
        queue, calls = _queue(), _Calls()
        for _ in range(100):
            queue.add(calls.make("flood"))
        self.assertEqual(queue.ahead_of(calls.make("quiet")), 1)
        self.assertEqual(queue.ahead_of(calls.make("flood")), 100)


class SharesTest(unittest.TestCase):
    def test_a_branch_is_over_its_share_while_it_takes_more_and_not_for_ever(self) -> None:
        shares = ServedShares(tau_s=60.0, over=3.0)
        for second in range(60):
            shares.add("flood", 1.0, 1_000.0, float(second))
            for quiet in range(8):
                shares.add(f"q{quiet}", 1.0, 50.0, float(second))
        self.assertTrue(shares.is_over("flood", 60.0))
        self.assertFalse(shares.is_over("q1", 60.0))
        for second in range(60, 400):
            for quiet in range(8):
                shares.add(f"q{quiet}", 1.0, 50.0, float(second))
        self.assertFalse(shares.is_over("flood", 400.0))

    def test_a_branch_alone_is_never_over_its_share(self) -> None:
        shares = ServedShares(tau_s=60.0, over=3.0)
        shares.add("only", 1.0, 1_000.0, 0.0)
        self.assertFalse(shares.is_over("only", 1.0))


class WorkingSetTest(unittest.TestCase):
    def test_only_prefixes_used_within_the_window_count(self) -> None:
        used = WorkingSet()
        used.touch("a", 100, 0.0)
        used.touch("b", 200, 50.0)
        used.touch("a", 150, 55.0)
        self.assertEqual(used.tokens(60.0, 60.0), 350)
        self.assertEqual(used.tokens(112.0, 60.0), 150)
        used.drop("a")
        self.assertEqual(used.tokens(112.0, 60.0), 0)


if __name__ == "__main__":
    unittest.main()
