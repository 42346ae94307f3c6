"""Exhaustive exploration of ownership and at-most-once at small size, and of broken variants."""

from __future__ import annotations

import unittest

from testing.process.ownership_model import Limits
from testing.process.ownership_model import Rules
from testing.process.ownership_model import explore

RETRY_AND_LOST_WRITE = Limits(crashes=1, requests=2, lost_writes=1, last_epoch=2)
TWO_TAKEOVERS = Limits(crashes=1, requests=1, lost_writes=0, last_epoch=3)
LATE_WRITE = Limits(crashes=1, requests=1, lost_writes=1, last_epoch=3)

LOST = "an acknowledged entry is lost"
TWICE = "the call ran twice"
LATE = "an act began after its outcome was declared"


class ProtocolTest(unittest.TestCase):
    def test_no_order_of_events_breaks_the_protocol(self) -> None:
        for limits in (RETRY_AND_LOST_WRITE, TWO_TAKEOVERS):
            for checks_fence in (False, True):
                rules = Rules(endpoint_checks_fence=checks_fence)
                with self.subTest(limits=limits, rules=rules):
                    visited, broken = explore(rules, limits)
                    print(f"ownership model: {visited} states, {limits}, fence {checks_fence}")
                    self.assertEqual(broken, "")
                    self.assertGreater(visited, 50_000)


class BrokenProtocolTest(unittest.TestCase):
    def assert_found(self, rule: str, limits: Limits, broken: str) -> None:
        for checks_fence in (False, True):
            rules = Rules(endpoint_checks_fence=checks_fence)._replace(**{rule: False})
            with self.subTest(rule=rule, checks_fence=checks_fence):
                self.assertEqual(explore(rules, limits)[1], broken)

    def test_a_second_copy_that_does_not_seal_is_found(self) -> None:
        self.assert_found("seal", RETRY_AND_LOST_WRITE, LOST)

    def test_a_call_without_a_journaled_intent_is_found(self) -> None:
        self.assert_found("intent", RETRY_AND_LOST_WRITE, TWICE)

    def test_an_act_without_the_check_after_a_pause_is_found(self) -> None:
        self.assert_found("may_act", RETRY_AND_LOST_WRITE, LATE)

    def test_a_takeover_undone_after_a_write_with_unknown_outcome_is_found(self) -> None:
        self.assert_found("unseal_only_when_nothing_written", LATE_WRITE, LOST)

    def test_an_old_pair_resumed_while_a_write_is_under_way_is_found(self) -> None:
        self.assert_found("commit_excludes_resume", LATE_WRITE, LOST)

    def test_a_pair_formed_with_an_outdated_snapshot_is_found(self) -> None:
        self.assert_found("snapshot_must_be_current", TWO_TAKEOVERS, LOST)


if __name__ == "__main__":
    unittest.main()
