"""Which gateways a ledger node names to one that needs another to reach the replicas."""

from __future__ import annotations

import random
import unittest

from bramleylead.ledger._relay_table import MAX_RELAYS_RETURNED
from bramleylead.ledger._relay_table import REPORT_LIFETIME_S
from bramleylead.ledger._relay_table import RelayGateway
from bramleylead.ledger._relay_table import RelayTable


def relay(node: str, address: str = "10.0.0.1:81") -> RelayGateway:
    return RelayGateway(node, address, "d")


class RelayTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = RelayTable(random.Random(1))
        for node in ("a", "b"):
            self.table.record(relay(node), now=1.0)

    def names(self, gateway: str, *, now: float) -> set[str]:
        return {found.node for found in self.table.relays_for(gateway, now=now)}

    def test_a_gateway_is_told_of_the_others(self) -> None:
        self.assertEqual(self.names("a", now=1.5), {"b"})

    def test_a_gateway_that_reports_no_address_is_not_named(self) -> None:
        self.table.record(relay("b", ""), now=1.2)
        self.assertEqual(self.names("a", now=1.5), set())

    def test_a_gateway_that_stopped_reporting_is_not_named(self) -> None:
        self.assertEqual(self.names("c", now=1.0 + 2 * REPORT_LIFETIME_S), set())

    def test_an_answer_names_a_limited_number(self) -> None:
        for number in range(2 * MAX_RELAYS_RETURNED):
            self.table.record(relay(f"g{number}"), now=1.0)
        self.assertEqual(len(self.names("a", now=1.5)), MAX_RELAYS_RETURNED)
