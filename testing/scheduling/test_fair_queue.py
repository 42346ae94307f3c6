"""Tests for the order of queued calls, branch shares and the working set."""

from __future__ import annotations

import unittest
from collections import Counter

import anyio

from bramleylead.scheduling._endpoint_view import ScheduledCall
from bramleylead.scheduling._fair_queue import NEW_PROGRAM
from bramleylead.scheduling._fair_queue import STARTED_PROGRAM
from bramleylead.scheduling._fair_queue import FairQueue
from bramleylead.scheduling._served_shares import ServedShares
from bramleylead.scheduling._working_set import WorkingSet
from bramleylead.standins import run_virtual
from testing.scheduling._support import slot_request


def _queue(*, between_branches: bool = True, order: str = "attained") -> FairQueue:
    return FairQueue(between_branches=between_branches, order=order, aging_tokens_per_s=1_000.0)


class _CallFactory:
    def __init__(self) -> None:
        self._serial = 0

    def make(self, branch: str = "b1", *, at_s: float = 0.0, **changes: object) -> ScheduledCall:
        self._serial += 1
        fields: dict[str, object] = {"branch": branch, "attained": 1.0}
        request = slot_request(f"p{self._serial}", **(fields | changes))
        return ScheduledCall(request, self._serial, at_s, 100.0, anyio.Event())


def _start_calls(queue: FairQueue, count: int, cost: float = 100.0) -> list[ScheduledCall]:
    started = []
    for _ in range(count):
        call = (queue.candidates(STARTED_PROGRAM) or queue.candidates(NEW_PROGRAM))[0]
        queue.start(call, cost)
        started.append(call)
    return started


class _VirtualTimeTestCase(unittest.TestCase):
    def run(self, result: unittest.TestResult | None = None) -> unittest.TestResult | None:
        async def body() -> unittest.TestResult | None:
            return super(_VirtualTimeTestCase, self).run(result)

        return run_virtual(body, seed=1)


class FairQueueTest(_VirtualTimeTestCase):
    def test_backlogged_branches_share_by_weight(self) -> None:
        queue, calls = _queue(), _CallFactory()
        for _ in range(60):
            queue.add(calls.make("heavy", weight=2.0))
            queue.add(calls.make("light", weight=1.0))
        started = Counter(call.request.branch for call in _start_calls(queue, 60))
        self.assertAlmostEqual(started["heavy"], 40, delta=2)

    def test_a_large_backlog_delays_another_branch_by_a_bounded_number_of_calls(self) -> None:
        queue, calls = _queue(), _CallFactory()
        for _ in range(500):
            queue.add(calls.make("flood"))
        _start_calls(queue, 100)
        queue.add(calls.make("quiet"))
        started = [call.request.branch for call in _start_calls(queue, 3)]
        self.assertIn("quiet", started)

    def test_an_idle_branch_accumulates_no_credit(self) -> None:
        queue, calls = _queue(), _CallFactory()
        queue.add(calls.make("sleeper"))
        _start_calls(queue, 1)
        for _ in range(200):
            queue.add(calls.make("busy"))
        _start_calls(queue, 100)
        for _ in range(50):
            queue.add(calls.make("sleeper"))
        started = Counter(call.request.branch for call in _start_calls(queue, 40))
        self.assertAlmostEqual(started["sleeper"], 20, delta=2)

    def test_a_single_branch_gets_every_slot(self) -> None:
        queue, calls = _queue(), _CallFactory()
        for _ in range(10):
            queue.add(calls.make("only"))
        self.assertEqual(len(_start_calls(queue, 10)), 10)

    def test_shares_use_the_settled_costs(self) -> None:
        queue, calls = _queue(), _CallFactory()
        for _ in range(40):
            queue.add(calls.make("dear"))
            queue.add(calls.make("cheap"))
        started: Counter[str] = Counter()
        for _ in range(40):
            call = _start_calls(queue, 1)[0]
            started[call.request.branch] += 1
            queue.settle(call, 300.0 if call.request.branch == "dear" else 100.0)
        self.assertAlmostEqual(started["cheap"] / started["dear"], 3.0, delta=0.7)

    def test_least_attained_service_goes_first_unless_another_call_has_waited_long(self) -> None:
        queue, calls = _queue(), _CallFactory()
        long = calls.make(attained=50_000.0, at_s=0.0)
        short = calls.make(attained=10.0, at_s=20.0)
        late = calls.make(attained=10.0, at_s=60.0)
        for call in (long, short, late):
            queue.add(call)
        self.assertEqual(_start_calls(queue, 3), [short, long, late])

    def test_started_programs_go_before_new_ones(self) -> None:
        queue, calls = _queue(), _CallFactory()
        new_program = calls.make(attained=0.0)
        started_program = calls.make(attained=5_000.0)
        queue.add(new_program)
        queue.add(started_program)
        self.assertEqual(_start_calls(queue, 2), [started_program, new_program])

    def test_a_removed_call_is_never_started(self) -> None:
        queue, calls = _queue(), _CallFactory()
        first, second = calls.make(), calls.make()
        queue.add(first)
        queue.add(second)
        queue.remove(first)
        self.assertEqual(_start_calls(queue, 1), [second])
        self.assertEqual(queue.candidates(STARTED_PROGRAM), [])
        self.assertEqual(queue.queued_tokens(STARTED_PROGRAM), 0)

    def test_calls_ahead_are_counted_by_branch_share(self) -> None:
        queue, calls = _queue(), _CallFactory()
        for _ in range(100):
            queue.add(calls.make("flood"))
        self.assertEqual(queue.calls_ahead_of(calls.make("quiet")), 1)
        self.assertEqual(queue.calls_ahead_of(calls.make("flood")), 100)


class SharesTest(unittest.TestCase):
    def test_a_branch_is_over_its_share_only_while_it_receives_more(self) -> None:
        shares = ServedShares(tau_s=60.0, over_factor=3.0)
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

    def test_a_single_branch_is_never_over_its_share(self) -> None:
        shares = ServedShares(tau_s=60.0, over_factor=3.0)
        shares.add("only", 1.0, 1_000.0, 0.0)
        self.assertFalse(shares.is_over("only", 1.0))


class WorkingSetTest(unittest.TestCase):
    def test_only_prefixes_used_within_the_window_count(self) -> None:
        working_set = WorkingSet()
        working_set.touch("a", 100, 0.0)
        working_set.touch("b", 200, 50.0)
        working_set.touch("a", 150, 55.0)
        self.assertEqual(working_set.tokens(60.0, 60.0), 350)
        self.assertEqual(working_set.tokens(112.0, 60.0), 150)
        working_set.drop("a")
        self.assertEqual(working_set.tokens(112.0, 60.0), 0)


if __name__ == "__main__":
    unittest.main()
