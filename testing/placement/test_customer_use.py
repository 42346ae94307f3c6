"""What a gateway takes for a customer's share, and when it finds the customer beyond it."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from bramleylead.customers import Customer
from bramleylead.customers import Quota
from bramleylead.placement._customer_use import CustomerUse
from bramleylead.placement._customer_use import Use
from bramleylead.placement._customer_use import unknown_use
from bramleylead.placement._program_times import MAX_PROGRAMS
from bramleylead.placement._program_times import ProgramTimes
from bramleylead.standins import run_virtual

CUSTOMERS = 10
LARGE = Customer("large", None, Quota(50.0, 25.0))
FREE = Customer("free")
OTHERS = [Customer(f"other{n}") for n in range(CUSTOMERS - 1)]


class Traffic:
    """Requests of customers at one gateway, of programs of four requests."""

    def __init__(self, use_of: Callable[[Customer], float] = unknown_use) -> None:
        self.use_of = CustomerUse(use_of)
        self.now = 0.0

    def run(self, seconds: float, rates: dict[Customer, float]) -> None:
        """Send each customer's requests at a constant rate."""
        step_s = 0.05
        owed = dict.fromkeys(rates, 0.0)
        sent = dict.fromkeys(rates, 0)
        for _ in range(round(seconds / step_s)):
            self.now += step_s
            for customer, rate in rates.items():
                owed[customer] += rate * step_s
                while owed[customer] >= 1.0:
                    owed[customer] -= 1.0
                    if sent[customer] % 4 == 0:
                        self.use_of.record_start(customer, now=self.now)
                    self.use_of.record_request(customer, now=self.now)
                    sent[customer] += 1

    def use(self, customer: Customer, *, traffic_share: float = 1.0) -> Use:
        return self.use_of.use(
            customer, customers=CUSTOMERS, traffic_share=traffic_share, now=self.now
        )


class CustomerUseTest(unittest.TestCase):
    def run_test(self, test: Callable[[], None]) -> None:
        async def main() -> None:
            test()

        run_virtual(main, seed=1)

    def test_nothing_known_is_no_use(self) -> None:
        self.run_test(lambda: self.assertEqual(Traffic().use(FREE).excess, 0.0))

    def test_what_this_gateway_sent_is_a_lower_bound_of_the_use_of_a_quota(self) -> None:
        def test() -> None:
            traffic = Traffic()
            traffic.run(60.0, {LARGE: 100.0})
            self.assertAlmostEqual(traffic.use(LARGE).own, 2.0, delta=0.1)
            self.assertGreater(traffic.use(LARGE).excess, 0.0)

        self.run_test(test)

    def test_the_larger_of_both_views_counts(self) -> None:
        def test() -> None:
            traffic = Traffic(lambda name: 3.0)
            traffic.run(60.0, {LARGE: 10.0})
            self.assertEqual(traffic.use(LARGE).known, 3.0)
            self.assertGreater(traffic.use(LARGE).excess, 1.0)

        self.run_test(test)

    # Guards against a usual customer that is taken for a flood, with a quota or without one.
    def test_usual_requests_are_no_excess(self) -> None:
        def test() -> None:
            traffic = Traffic()
            traffic.run(60.0, dict.fromkeys([*OTHERS, FREE], 2.0) | {LARGE: 31.0})
            for customer in (LARGE, FREE, *OTHERS):
                self.assertEqual(traffic.use(customer).excess, 0.0, customer.name)

        self.run_test(test)

    # Guards against a flood that fills the replicas before the use over all gateways shows it.
    def test_a_surge_shows_within_a_second(self) -> None:
        def test() -> None:
            for customer, usual in ((LARGE, 30.0), (FREE, 4.0)):
                traffic = Traffic()
                usual_rates = dict.fromkeys(OTHERS, 2.0)
                traffic.run(60.0, usual_rates | {customer: usual})
                traffic.run(1.0, usual_rates | {customer: 6 * usual})
                self.assertGreater(traffic.use(customer).excess, 0.3, customer.name)

        self.run_test(test)

    # Guards against a refusal of customers that chance brings together.
    def test_two_programs_at_once_of_a_small_customer_are_no_surge(self) -> None:
        def test() -> None:
            small = Customer("small", None, Quota(6.6, 6.6))
            traffic = Traffic()
            traffic.run(60.0, dict.fromkeys(OTHERS, 4.0) | {small: 1.0})
            for _ in range(2):
                traffic.use_of.record_start(small, now=traffic.now)
            self.assertEqual(traffic.use(small).excess, 0.0)

        self.run_test(test)

    def test_the_mean_counts_the_traffic_of_all_gateways(self) -> None:
        def test() -> None:
            traffic = Traffic()
            traffic.run(60.0, {FREE: 2.0})
            alone, among_many = traffic.use(FREE), traffic.use(FREE, traffic_share=0.01)
            self.assertLess(among_many.own, 0.2 * alone.own)

        self.run_test(test)


class ProgramTimesTest(unittest.TestCase):
    def test_a_program_has_value_until_twice_its_time_from_its_first_request(self) -> None:
        times = ProgramTimes()
        times.record_begin("c", "p", 2.0, now=10.0)
        times.record_begin("c", "p", 0.5, now=11.5)
        self.assertAlmostEqual(times.value_left_s("c", "p", now=13.0), 1.0)
        self.assertAlmostEqual(times.value_left_s("c", "p", now=15.0), -1.0)

    # Guards against programs refused as late that began at another gateway, or give no time.
    def test_a_program_of_unknown_time_is_never_late(self) -> None:
        times = ProgramTimes()
        times.record_begin("c", "timeless", None, now=0.0)
        times.record_begin("c", "negative", -1.0, now=0.0)
        times.record_begin("other", "p", 1.0, now=0.0)
        for program in ("timeless", "negative", "p"):
            self.assertEqual(times.value_left_s("c", program, now=1e6), float("inf"))

    def test_the_programs_remembered_are_bounded(self) -> None:
        times = ProgramTimes()
        for number in range(MAX_PROGRAMS + 10):
            times.record_begin("c", str(number), 1.0, now=0.0)
        self.assertEqual(len(times), MAX_PROGRAMS)
        self.assertEqual(times.value_left_s("c", "0", now=9.0), float("inf"))
