"""Reports of many gateways add up, age, and are passed on between nodes."""

from __future__ import annotations

import unittest

from bramleylead.placement._fleet_table import PROMPT_LIFETIME_S
from bramleylead.placement._fleet_table import REPORT_LIFETIME_S
from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._fleet_table import FleetTable
from bramleylead.placement._fleet_table import LoadReport
from bramleylead.placement._fleet_table import merge_fleet_loads


class FleetTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = FleetTable()

    def running(self, gateway: str, *, now: float) -> dict[str, int]:
        return self.table.load_for(gateway, (), now=now).running

    def test_the_requests_of_all_other_gateways_are_added_up(self) -> None:
        self.table.record(LoadReport("g0", {"i0": 2}), now=0.0)
        self.table.record(LoadReport("g1", {"i0": 1, "i1": 1}), now=0.0)
        self.assertEqual(self.running("g2", now=0.1), {"i0": 3, "i1": 1})
        self.assertEqual(self.running("g0", now=0.1), {"i0": 1, "i1": 1})

    def test_a_later_report_replaces_an_earlier_one(self) -> None:
        self.table.record(LoadReport("g0", {"i0": 2}), now=0.0)
        self.table.record(LoadReport("g0", {}), now=1.0)
        self.assertEqual(self.running("g1", now=1.0), {})

    def test_gateways_that_were_killed_are_soon_no_longer_counted(self) -> None:
        # Otherwise new programs are refused for seconds after many gateways were lost at once.
        for number in range(20):
            self.table.record(LoadReport(f"g{number}", {"i0": 5}), now=0.0)
        self.assertEqual(self.running("g20", now=2.5), {})

    def test_a_silent_gateway_is_no_longer_counted(self) -> None:
        self.table.record(LoadReport("g0", {"i0": 2}), now=0.0)
        self.assertEqual(self.running("g1", now=REPORT_LIFETIME_S + 0.1), {})

    def test_a_node_learns_reports_from_another_one(self) -> None:
        other = FleetTable()
        other.record(LoadReport("g0", {"i0": 2}), now=10.0)
        self.table.record_shared(other.take_unshared(now=10.2), now=0.2)
        self.assertEqual(self.running("g1", now=0.2), {"i0": 2})
        self.assertEqual(other.take_unshared(now=10.3), ())

    def test_an_older_report_from_another_node_changes_nothing(self) -> None:
        other = FleetTable()
        other.record(LoadReport("g0", {"i0": 2}), now=0.0)
        self.table.record(LoadReport("g0", {"i1": 1}), now=0.1)
        self.table.record_shared(other.take_unshared(now=0.2), now=0.2)
        self.assertEqual(self.running("g1", now=0.2), {"i1": 1})

    def test_reports_learnt_from_a_node_are_not_passed_on(self) -> None:
        other = FleetTable()
        other.record(LoadReport("g0", {"i0": 2}), now=0.0)
        self.table.record_shared(other.take_unshared(now=0.1), now=0.1)
        self.assertEqual(self.table.take_unshared(now=0.1), ())

    def test_the_latest_replica_of_a_prompt_part_comes_first(self) -> None:
        self.table.record(LoadReport("g0", {}, (("i0", ("p", "s")),)), now=0.0)
        self.table.record(LoadReport("g1", {}, (("i1", ("p",)),)), now=1.0)
        load = self.table.load_for("g2", ("p", "s", "unknown"), now=1.0)
        self.assertEqual(load.holders, (("i1", "i0"), ("i0",), ()))
        later = self.table.load_for("g2", ("p",), now=1.0 + PROMPT_LIFETIME_S)
        self.assertEqual(later.holders, ((),))

    def test_answers_of_several_nodes_are_merged(self) -> None:
        merged = merge_fleet_loads(
            [FleetLoad({"i0": 2}, (("i0",),)), FleetLoad({"i0": 1, "i1": 1}, (("i1", "i0"),))]
        )
        self.assertEqual(merged, FleetLoad({"i0": 2, "i1": 1}, (("i0", "i1"),)))
