"""The memory that requests occupy is summed over gateways; shared parts occupy it once."""

from __future__ import annotations

import unittest

from bramleylead.connection._codec import decode
from bramleylead.connection._codec import encode
from bramleylead.ledger._messages import ReportLoad
from bramleylead.placement._fleet_table import FleetTable
from bramleylead.placement._fleet_table import LoadReport
from bramleylead.placement._held_tokens import KNOWN_FOR_S
from bramleylead.placement._held_tokens import HeldTokens
from bramleylead.placement._prompt import Prompt

FIRST = Prompt((("shared", 12_000), ("own1", 1_000)), tokens=13_400)
SECOND = Prompt((("shared", 12_000), ("own2", 2_000)), tokens=14_400)


class HeldTokensTest(unittest.TestCase):
    def setUp(self) -> None:
        self.held = HeldTokens()

    def test_a_shared_part_occupies_memory_once(self) -> None:
        self.held.start_request("i0", FIRST)
        self.held.start_request("i0", SECOND)
        self.assertEqual(self.held.held("i0", now=0.0), 12_000 + 1_400 + 2_400)

    def test_a_request_that_ended_occupies_nothing(self) -> None:
        self.held.start_request("i0", FIRST)
        self.held.start_request("i0", SECOND)
        self.held.end_request("i0", FIRST)
        self.assertEqual(self.held.held("i0", now=0.0), 12_000 + 2_400)
        self.held.end_request("i0", SECOND)
        self.assertEqual((self.held.held("i0", now=0.0), self.held.counters()), (0, {}))
        self.held.end_request("i0", SECOND)
        self.assertEqual(self.held.held("i0", now=0.0), 0)

    def test_the_requests_of_other_gateways_count_through_the_ledgers_sums(self) -> None:
        table = FleetTable()
        for number, prompt in enumerate((FIRST, SECOND)):
            own = HeldTokens()
            own.start_request("i0", prompt)
            table.record(LoadReport(f"g{number}", {"i0": 1, **own.counters()}), now=0.0)
        load = table.load_for("g9", (), now=0.1)
        self.assertEqual(load.running["i0"], 2)
        self.held.record_counters(load.running, now=0.1)
        self.assertEqual(self.held.held("i0", now=0.1), 12_000 + 1_400 + 2_400)
        self.assertEqual(self.held.held_with("i0", FIRST, now=0.1), 12_000 + 2 * 1_400 + 2_400)

    # Guards against refusals for requests that have ended long ago.
    def test_old_reports_do_not_count(self) -> None:
        self.held.record_counters({"i0\0t": 200_000}, now=0.0)
        self.assertEqual(self.held.held("i0", now=KNOWN_FOR_S - 0.1), 200_000)
        self.assertEqual(self.held.held("i0", now=KNOWN_FOR_S), 0)

    def test_requests_without_figures_occupy_nothing(self) -> None:
        self.held.start_request("i0", Prompt((("shared", 12_000), ("own", 1))))
        self.assertEqual(self.held.held("i0", now=0.0), 0)

    def test_invalid_counters_are_ignored(self) -> None:
        self.held.record_counters(
            {"i0": 4, "i0\0px.y": 1, "i0\0t": -5, "i0\0?": 9, "i0\0p²": 1}, now=0.0
        )
        self.assertEqual(self.held.held("i0", now=0.0), 0)


class MessageFormTest(unittest.TestCase):
    """Builds without these counters read and write the same messages."""

    def test_a_report_without_counters_has_the_old_bytes(self) -> None:
        old = b"\x92\xcc\xb7\x93\xa2g0\x81\xa2i0\x02\x90"
        running = {"i0": 2, **HeldTokens().counters()}
        self.assertEqual(encode(ReportLoad(LoadReport("g0", running))), old)
        self.assertEqual(decode(old), ReportLoad(LoadReport("g0", {"i0": 2})))

    def test_counters_have_the_form_of_running_requests(self) -> None:
        held = HeldTokens()
        held.start_request("i0", FIRST)
        self.assertTrue(all(isinstance(count, int) for count in held.counters().values()))
        message = ReportLoad(LoadReport("g0", held.counters()))
        self.assertEqual(decode(encode(message)), message)
