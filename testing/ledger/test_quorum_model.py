"""Exhaustive exploration of a small model of the ledger's quorum, and of broken variants."""

from __future__ import annotations

import unittest

from testing.ledger.quorum_model import TURN_UNKNOWN
from testing.ledger.quorum_model import explore
from testing.ledger.quorum_state import Limits
from testing.ledger.quorum_state import Rules

SPARE_JOINS = Limits()
TWO_LEAVE = Limits(nodes=3, leaves=2)
TWO_JOIN = Limits(members=2)
THREE_CHANGES = Limits(members=2, changes=3, leaves=0)
SUCCESSOR_OF_TWO = Limits(members=2, nodes=3, wipes=1)
SUCCESSOR_OF_THREE = Limits(nodes=4, losses=2)
WIPED_AT_JOIN = Limits(wipes=1, leaves=0)
DISK_LOST = Limits(members=2, nodes=3, wipes=1)
TWO_RECORDS = Limits(members=2, nodes=3, records=2)
THREE_RECORDS_ONE_CHANGE = Limits(members=2, nodes=3, records=3, changes=1)
TWO_LOSSES_ONE_CHANGE = Limits(members=4, nodes=5, losses=2, changes=1, wipes=1)

FEWER_STATES = Rules(settled_members_count=False)
"""Half of the rules on settled members. ``quorum_deep`` explores these limits with all rules, which
takes minutes."""


class QuorumTest(unittest.TestCase):
    def assert_sound(self, rules: Rules, limits: Limits) -> None:
        explored = explore(rules, limits)
        print(f"quorum model: {explored.state_count} states, {limits}")
        self.assertEqual(explored.violation, "")
        self.assertGreater(explored.state_count, 1000)

    def test_no_order_of_events_hides_an_acknowledged_entry(self) -> None:
        for limits in (
            TWO_LEAVE,
            TWO_JOIN,
            DISK_LOST,
            TWO_RECORDS,
            THREE_RECORDS_ONE_CHANGE,
            TWO_LOSSES_ONE_CHANGE,
        ):
            with self.subTest(limits=limits):
                self.assert_sound(Rules(), limits)

    # Guards against an entry that was committed while a node joined, and that the members which
    # synchronise before the removal of a silent one lack.
    def test_a_removal_right_after_a_join_hides_no_entry(self) -> None:
        self.assert_sound(FEWER_STATES, SPARE_JOINS)
        self.assert_sound(Rules(), SPARE_JOINS._replace(leaves=0))

    # Guards against a successor that joins by one member which lacks an entry of the epoch before.
    def test_a_join_by_a_settled_member_hides_no_entry(self) -> None:
        for limits in (TWO_JOIN, SUCCESSOR_OF_TWO, SUCCESSOR_OF_THREE):
            with self.subTest(limits=limits):
                self.assert_sound(Rules(), limits)

    # Guards against a member that lost its disk after it was asked whether it takes part.
    def test_a_disk_lost_during_a_join_hides_no_entry(self) -> None:
        self.assert_sound(FEWER_STATES, WIPED_AT_JOIN)

    def test_three_changes_in_a_row_hide_no_entry(self) -> None:
        self.assert_sound(FEWER_STATES, THREE_CHANGES)


class BrokenQuorumTest(unittest.TestCase):
    def assert_found(self, rules: Rules, limits: Limits = SPARE_JOINS) -> None:
        self.assertEqual(explore(rules, limits).violation, TURN_UNKNOWN)

    def test_detects_a_member_that_does_not_check_the_epoch_again_after_a_write(self) -> None:
        self.assert_found(Rules(second_epoch_check=False))

    def test_detects_members_that_count_as_complete_before_they_have_copied(self) -> None:
        self.assert_found(Rules(members_copy=False))

    def test_detects_a_single_pass_of_copies(self) -> None:
        self.assert_found(Rules(second_pass=False), THREE_CHANGES)

    def test_detects_a_join_after_one_member_has_synchronised(self) -> None:
        self.assert_found(Rules(full_sync_before_join=False))

    def test_detects_a_retirement_without_the_entries_of_the_one_that_leaves(self) -> None:
        self.assert_found(Rules(leaver_is_source=False))

    def test_detects_a_lookup_that_ignores_entries_of_the_epoch_before(self) -> None:
        self.assert_found(Rules(absences_of_former_epochs=False))

    def test_detects_a_removal_that_ignores_entries_of_the_epoch_before(self) -> None:
        self.assert_found(Rules(removal_covers_former_epochs=False))

    def test_detects_copies_from_a_member_that_has_lost_its_disk(self) -> None:
        self.assert_found(Rules(sources_checked=False), WIPED_AT_JOIN)

    # Guards against a source that acknowledges an entry of the epoch before after the copy.
    def test_detects_copies_that_count_though_their_source_is_in_an_earlier_epoch(self) -> None:
        self.assert_found(Rules(settled_sources_adopted=False))

    def test_detects_a_join_by_one_holder_where_all_must_acknowledge(self) -> None:
        self.assert_found(Rules(one_holder_joins=True))


if __name__ == "__main__":
    unittest.main()
