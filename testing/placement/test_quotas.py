"""Quotas are neither exceeded nor applied too early; see ``test_quota_replay`` for whole fleets."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bramleylead.customers import Quota
from bramleylead.placement._quotas import WINDOW_S
from bramleylead.placement._quotas import KnownUse
from bramleylead.placement._quotas import OwnPermits
from bramleylead.placement._quotas import PermitBucket
from bramleylead.placement._quotas import SlidingCount
from bramleylead.placement._quotas import exceeds_free
from bramleylead.placement._quotas import initial_level
from bramleylead.placement._quotas import is_contended
from bramleylead.placement._quotas import with_margin

QUOTA = Quota(10.0, 10.0)
NO_USE = KnownUse()


def _bucket(quota: Quota = QUOTA, *, level: float = 1_000.0) -> PermitBucket:
    return PermitBucket(quota, level=level, now=0.0)


def _grant(
    bucket: PermitBucket,
    count: int,
    *,
    now: float,
    under_way: int | None = None,
    use: KnownUse = NO_USE,
    heard_share: float = 1.0,
) -> int:
    under_way = count if under_way is None else under_way
    return bucket.grant(count, under_way, use=use, heard_share=heard_share, now=now).count


def _most_in_window(grants: list[tuple[float, int]]) -> int:
    return max(
        sum(count for at, count in grants if begin <= at < begin + WINDOW_S) for begin, _ in grants
    )


class SlidingCountTest(unittest.TestCase):
    def test_requests_count_for_one_window(self) -> None:
        """Guards against a window that ends early, which would let too many pass."""
        count = SlidingCount()
        count.add(3, now=1.0)
        self.assertEqual(3, count.total(now=5.99))
        self.assertEqual(0, count.total(now=6.2))

    def test_requests_given_back_count_no_longer(self) -> None:
        """Guards against giving back a request that was counted in another slot."""
        count = SlidingCount()
        count.add(1, now=1.0)
        count.add(1, now=2.0)
        count.take_back(1, at=1.0)
        self.assertEqual(1, count.total(now=6.2))
        self.assertEqual(1, count.since(2.0, now=2.0))

    def test_taking_back_more_than_was_counted_leaves_nothing(self) -> None:
        """Guards against a negative count, which would let more pass."""
        count = SlidingCount()
        count.add(1, now=1.0)
        count.take_back(5, at=1.0)
        self.assertEqual(0, count.total(now=1.0))


class DecisionTest(unittest.TestCase):
    def test_customers_are_contended_above_seven_tenths_of_their_allowance(self) -> None:
        """Guards against permits for customers that are far from their limit."""
        self.assertFalse(is_contended(42, QUOTA, before=False))
        self.assertTrue(is_contended(43, QUOTA, before=False))
        self.assertTrue(is_contended(28, QUOTA, before=True))
        self.assertFalse(is_contended(27, QUOTA, before=True))

    def test_one_gateway_admits_a_tenth_or_four_requests_without_asking(self) -> None:
        """Guards against a flood through one gateway that the others learn of too late."""
        self.assertFalse(exceeds_free(6, QUOTA))
        self.assertTrue(exceeds_free(7, QUOTA))
        self.assertFalse(exceeds_free(4, Quota(1.0, 0.0)))
        self.assertTrue(exceeds_free(5, Quota(1.0, 0.0)))


class PermitBucketTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.floats(0.0, 1.0), st.integers(0, 40)), min_size=1, max_size=60),
        st.floats(0.1, 30.0),
        st.floats(0.0, 50.0),
    )
    @settings(derandomize=True, deadline=None)
    def test_no_window_exceeds_the_allowance_and_the_margin(
        self, draws: list[tuple[float, int]], rate_per_s: float, burst: float
    ) -> None:
        """Guards against any pattern of draws that gets more than the quota."""
        quota = Quota(rate_per_s, burst)
        bucket = _bucket(quota)
        now, grants = 0.0, []
        for pause_s, count in draws:
            now += pause_s
            grants.append((now, _grant(bucket, count, now=now)))
        self.assertLessEqual(_most_in_window(grants), with_margin(quota) + 1e-6)

    def test_traffic_within_the_quota_gets_every_permit(self) -> None:
        """Guards against refusals within the quota."""
        bucket = _bucket()
        self.assertEqual(10, _grant(bucket, 10, now=0.0))
        for step in range(1, 200):
            self.assertEqual(1, _grant(bucket, 1, now=step * 0.1))

    def test_requests_admitted_without_permits_use_the_allowance(self) -> None:
        """Guards against granting what gateways without permits have already admitted."""
        bucket = _bucket()
        use = KnownUse(free=60.0)
        self.assertLessEqual(_grant(bucket, 50, now=0.0, use=use), with_margin(QUOTA) - 60)

    def test_permits_of_another_owner_use_the_allowance(self) -> None:
        """Guards against two owners that each grant the whole quota."""
        bucket = _bucket()
        self.assertEqual(0, _grant(bucket, 50, now=0.0, use=KnownUse(drawn=with_margin(QUOTA))))

    def test_new_programs_leave_a_reserve_for_those_in_progress(self) -> None:
        """Guards against new programs that take the permits of those in progress."""
        bucket = _bucket()
        new = _grant(bucket, 100, now=0.0, under_way=0)
        later = _grant(bucket, 100, now=0.0, under_way=100)
        self.assertGreater(new, 0)
        self.assertGreaterEqual(later, int(QUOTA.rate_per_s * 0.25))

    def test_permits_given_back_can_be_granted_again(self) -> None:
        """Guards against permits lost with requests that were not sent."""
        bucket = _bucket()
        first = _grant(bucket, 100, now=0.0)
        self.assertEqual(0, _grant(bucket, 1, now=0.0))
        bucket.give_back(4, now=0.0)
        self.assertEqual(4, _grant(bucket, 100, now=0.0))
        bucket.give_back(1_000, now=0.0)
        self.assertLessEqual(_grant(bucket, 100, now=0.0), first)

    def test_only_the_part_of_the_gateways_that_is_heard_shares_the_rate(self) -> None:
        """Guards against an owner that grants what gateways out of contact may be using."""
        bucket = _bucket(level=0.0)
        granted = sum(
            _grant(bucket, 100, now=step * 0.1, heard_share=0.65) for step in range(1, 51)
        )
        self.assertLessEqual(granted, 0.65 * 50 + 1)

    def test_a_lowered_quota_applies_at_once_to_the_rate_and_later_to_the_window(self) -> None:
        """Guards against refusing everything until the requests before the change have aged."""
        bucket = _bucket()
        for step in range(100):
            _grant(bucket, 1, now=step * 0.1)
        lower = Quota(2.0, 2.0)
        bucket.apply_quota(lower, now=10.0)
        granted = [
            (10.0 + step * 0.1, _grant(bucket, 5, now=10.0 + step * 0.1)) for step in range(100)
        ]
        soon = sum(count for at, count in granted if at < 15.0)
        later = sum(count for at, count in granted if at >= 15.0)
        self.assertGreaterEqual(soon, 10)
        self.assertLessEqual(later, with_margin(lower))
        self.assertGreaterEqual(later, 9)

    def test_a_new_owner_begins_with_what_the_reports_show_to_be_unused(self) -> None:
        """Guards against a full bucket after each change of the owner or restart."""
        self.assertEqual(0.0, initial_level(QUOTA, NO_USE, knows_use=False))
        self.assertEqual(0.0, initial_level(QUOTA, KnownUse(drawn=60.0), knows_use=True))
        full = initial_level(QUOTA, KnownUse(free=10.0), knows_use=True)
        self.assertEqual(with_margin(QUOTA) - 10.0, full)


class OwnPermitsTest(unittest.TestCase):
    def test_gateways_together_get_about_the_rate_without_a_burst(self) -> None:
        """Guards against gateways out of contact that all use a permit saved before."""
        rng = random.Random(1)
        gateways = [OwnPermits(rng, now=0.0) for _ in range(63)]
        rate_per_s = 10.0 / len(gateways)
        for idle_s in (0.0, 100.0):
            taken = sum(
                own.take(rate_per_s, now=idle_s + step * 0.05)
                for step in range(100)
                for own in gateways
            )
            self.assertLessEqual(taken, 10.0 * 5 * 1.3)
            self.assertGreaterEqual(taken, 10.0 * 5 * 0.7)

    def test_a_large_part_of_the_rate_accrues_steadily(self) -> None:
        """Guards against a large share of the rate that lapses."""
        own = OwnPermits(random.Random(1), now=0.0)
        taken = sum(own.take(4.0, now=step * 0.1) for step in range(1, 101))
        self.assertAlmostEqual(40, taken, delta=2)
