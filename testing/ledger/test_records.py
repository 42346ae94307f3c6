"""The state that a node derives from its records."""

from __future__ import annotations

import unittest
from itertools import islice
from itertools import permutations

from bramleylead.ledger._records import RETENTION_MARGIN_S
from bramleylead.ledger._records import LedgerState
from bramleylead.ledger._records import Spending
from bramleylead.ledger._records import merge_spendings
from bramleylead.platform._types import Software
from testing.ledger._fleet import turn

KEEP_S = 60.0


class LedgerStateTest(unittest.TestCase):
    def test_the_state_does_not_depend_on_the_order_of_records(self) -> None:
        records = [Spending("p", "a", 9, False), Spending("p", "a", 4, True), turn("a")]
        for order in (records, records[::-1]):
            state = LedgerState()
            for record in order:
                state.add(record, now=0.0)
            self.assertTrue(state.spendings("p")[0].settled)

    def test_a_kept_turn_settles_its_spending(self) -> None:
        state = LedgerState()
        state.add(Spending("p", "a", 99, False), now=0.0)
        state.add(turn("a"), now=0.0)
        self.assertEqual(state.spendings("p"), [Spending("p", "a", 10, True)])

    def test_a_spending_keeps_its_software_in_any_order_of_records(self) -> None:
        software = Software("s", "v1")
        records = [
            Spending("p", "a", 99, False, software),
            turn("a"),
            Spending("p", "a", 9, True, software),
        ]
        for order in permutations(records):
            state = LedgerState()
            for record in order:
                state.add(record, now=0.0)
            (spending,) = state.spendings("p")
            self.assertEqual((spending.settled, spending.software), (True, software))

    def test_a_turn_is_retained_as_long_as_a_turn_that_continues_it(self) -> None:
        state = LedgerState()
        state.add(turn("a"), now=0.0)
        state.add(turn("b", "a"), now=50.0)
        state.expire(KEEP_S + RETENTION_MARGIN_S + 40.0)
        self.assertEqual(len(list(state.chain("b"))), 2)
        state.expire(KEEP_S + RETENTION_MARGIN_S + 51.0)
        self.assertEqual((list(state.chain("b")), len(state)), ([], 0))

    def test_all_spendings_of_a_program_are_retained_as_long_as_its_latest(self) -> None:
        state = LedgerState()
        state.add(Spending("p", "a", 9, True), now=0.0)
        state.add(Spending("p", "b", 9, True), now=50.0)
        state.expire(KEEP_S + RETENTION_MARGIN_S + 40.0)
        self.assertEqual(len(state.spendings("p")), 2)

    def test_keys_are_read_in_pages(self) -> None:
        state = LedgerState()
        for name in "abc":
            state.add(turn(name), now=0.0)
        first, second = islice(state.keys_after(0), 2)
        last, keys = second.number, [first.key, second.key]
        self.assertEqual((last, keys), (2, ["turn/a", "turn/b"]))
        self.assertEqual(list(state.keys_after(last)), [(3, "turn/c")])

    def test_a_settled_copy_takes_precedence_over_a_reserved_one(self) -> None:
        reserved, settled = Spending("p", "a", 9, False), Spending("p", "a", 4, True)
        for copies in ([[reserved], [settled]], [[settled], [reserved]]):
            self.assertEqual(merge_spendings(copies), {"a": settled})
