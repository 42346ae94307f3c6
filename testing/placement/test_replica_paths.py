"""What a gateway concludes from connections to replicas that open or fail."""

from __future__ import annotations

import unittest

from bramleylead.placement._replica_paths import FAILURE_LIFETIME_S
from bramleylead.placement._replica_paths import ReplicaPaths


class UnreachedTest(unittest.TestCase):
    def test_replicas_that_fail_one_after_the_other_are_counted_until_one_is_reached(self) -> None:
        paths = ReplicaPaths()
        paths.record_unreached("a", now=1.0)
        paths.record_unreached("b", now=1.4)
        self.assertEqual(paths.unreached(now=1.5), ["a", "b"])
        paths.record_reached("c", now=1.6)
        self.assertEqual(paths.unreached(now=1.7), [])

    def test_an_old_failure_is_not_counted(self) -> None:
        paths = ReplicaPaths()
        paths.record_unreached("a", now=1.0)
        self.assertEqual(paths.unreached(now=1.0 + FAILURE_LIFETIME_S), [])


class LostPathsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = ReplicaPaths()
        for name in ("a", "b"):
            self.paths.record_unreached(name, now=1.0)

    def lose(self) -> None:
        self.paths.record_lost(confirmed_by="other", replica="a", now=1.2)

    def test_one_unreached_replica_does_not_make_the_paths_suspect(self) -> None:
        paths = ReplicaPaths()
        paths.record_unreached("a", now=1.0)
        self.assertFalse(paths.is_suspect(now=1.1))

    def test_several_make_them_suspect_but_not_lost(self) -> None:
        self.assertTrue(self.paths.is_suspect(now=1.1))
        self.assertFalse(self.paths.is_lost)
        self.assertTrue(self.paths.needs_relay("a", now=1.1))
        self.assertFalse(self.paths.needs_relay("c", now=1.1))

    def test_a_replica_that_nobody_reaches_is_not_evidence(self) -> None:
        self.paths.record_unreached_elsewhere("a")
        self.assertFalse(self.paths.is_suspect(now=1.1))

    def test_all_replicas_need_a_relay_while_the_paths_are_lost(self) -> None:
        self.lose()
        self.assertTrue(self.paths.needs_relay("c", now=9.0))

    def test_one_replica_reached_again_is_used_directly_and_two_end_the_loss(self) -> None:
        self.lose()
        self.paths.record_reached("c", now=2.0)
        self.assertTrue(self.paths.is_lost)
        self.assertFalse(self.paths.needs_relay("c", now=2.0))
        self.assertTrue(self.paths.needs_relay("a", now=2.0))
        self.paths.record_reached("d", now=2.2)
        self.assertFalse(self.paths.is_lost)
        self.assertFalse(self.paths.needs_relay("a", now=2.2))

    def test_a_replica_that_is_lost_again_needs_a_relay_again(self) -> None:
        self.lose()
        self.paths.record_reached("c", now=2.0)
        self.paths.record_unreached("c", now=2.1)
        self.assertTrue(self.paths.needs_relay("c", now=2.1))
