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
