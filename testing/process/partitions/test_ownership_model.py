"""Exhaustive exploration of a small ownership and at-most-once model, and of broken variants."""

from __future__ import annotations

import unittest

from testing.process.ownership_model import Limits
from testing.process.ownership_model import Rules
from testing.process.ownership_model import explore

RETRY_AND_LOST_WRITE = Limits(crashes=1, requests=2, lost_writes=1, last_epoch=2)
TWO_TAKEOVERS = Limits(crashes=1, requests=1, lost_writes=0, last_epoch=3)
LATE_WRITE = Limits(crashes=1, requests=1, lost_writes=1, last_epoch=3)

ENTRY_LOST = "an acknowledged entry is lost"
CALL_RAN_TWICE = "the call ran twice"
ACT_AFTER_DECLARED = "an act began after its outcome was declared"


class ProtocolTest(unittest.TestCase):
    def test_no_order_of_events_violates_the_protocol(self) -> None:
        for limits in (RETRY_AND_LOST_WRITE, TWO_TAKEOVERS):
            for checks_fence in (False, True):
                rules = Rules(endpoint_checks_fence=checks_fence)
                with self.subTest(limits=limits, rules=rules):
                    state_count, violation = explore(rules, limits)
                    print(f"ownership model: {state_count} states, {limits}, fence {checks_fence}")
                    self.assertEqual(violation, "")
                    self.assertGreater(state_count, 50_000)


class BrokenProtocolTest(unittest.TestCase):
    def assert_violation_found(self, rule: str, limits: Limits, violation: str) -> None:
        for checks_fence in (False, True):
            rules = Rules(endpoint_checks_fence=checks_fence)._replace(**{rule: False})
            with self.subTest(rule=rule, checks_fence=checks_fence):
                self.assertEqual(explore(rules, limits)[1], violation)

    def test_detects_a_second_copy_that_does_not_seal(self) -> None:
        self.assert_violation_found("seal", RETRY_AND_LOST_WRITE, ENTRY_LOST)

    def test_detects_a_call_without_a_journaled_intent(self) -> None:
        self.assert_violation_found("intent", RETRY_AND_LOST_WRITE, CALL_RAN_TWICE)

    def test_detects_an_act_without_a_lease_check_after_a_pause(self) -> None:
        self.assert_violation_found("may_act", RETRY_AND_LOST_WRITE, ACT_AFTER_DECLARED)

    def test_detects_a_takeover_undone_after_a_write_with_unknown_outcome(self) -> None:
        self.assert_violation_found("unseal_only_when_nothing_written", LATE_WRITE, ENTRY_LOST)

    def test_detects_an_old_pair_resumed_during_a_write(self) -> None:
        self.assert_violation_found("commit_excludes_resume", LATE_WRITE, ENTRY_LOST)

    def test_detects_a_pair_formed_with_an_outdated_snapshot(self) -> None:
        self.assert_violation_found("snapshot_must_be_current", TWO_TAKEOVERS, ENTRY_LOST)


if __name__ == "__main__":
    unittest.main()
