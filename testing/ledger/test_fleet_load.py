"""Gateways learn each other's load and cached prompts from the ledger's nodes."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.ledger._load_sharing import SHARE_INTERVAL_S
from bramleylead.ledger._records import Spending
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._fleet_table import LoadReport
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import turn
from testing.ledger.test_entries import run_with_ledger

MESSAGE_S = 0.05


def reservation(name: str) -> Spending:
    return Spending(name, name, 100, False)


class FleetLoadTest(unittest.TestCase):
    def test_a_placement_is_known_to_the_next_gateway_at_once(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as first, ledger.gateway(1) as second:
                await first.refresh()
                first.report_load = lambda: LoadReport("g0", {"i0": 2})
                first.report_placement()
                await anyio.sleep(MESSAGE_S)
                reserved = await second.reserve(reservation("p"))
                self.assertEqual(reserved.unwrap().fleet.running, {"i0": 2})

        run_with_ledger(main)

    def test_members_pass_on_reports(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                gateway.report_load = lambda: LoadReport("g0", {"i0": 2})
                await gateway.reserve(reservation("p"))
                await anyio.sleep(SHARE_INTERVAL_S + MESSAGE_S)
                for i in range(3):
                    load = ledger.nodes[i].fleet.load_for("g9", (), now=anyio.current_time())
                    self.assertEqual(load.running, {"i0": 2})

        run_with_ledger(main)

    def test_a_gateway_learns_where_a_prompt_of_another_one_is_cached(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as first, ledger.gateway(1) as second:
                first.report_load = lambda: LoadReport("g0", {}, (("i7", ("shared", "own")),))
                self.assertTrue((await first.keep(turn("a"))).is_ok())
                reserved = await second.reserve(
                    reservation("p"), prompt_parts=("shared", "own", "other")
                )
                self.assertEqual(reserved.unwrap().fleet, FleetLoad({}, (("i7",), ("i7",), ())))

        run_with_ledger(main)

    def test_members_pass_on_which_requests_were_running_at_crashes(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.refresh()
                await gateway.report_crash((CrashEvidence(b"q", {"i0": 1.0}, 0.0),))
                await anyio.sleep(SHARE_INTERVAL_S + MESSAGE_S)
                for node in ledger.nodes.values():
                    self.assertTrue(node.crashes.is_suspect(b"q", now=anyio.current_time()))

        run_with_ledger(main, 5)

    def test_a_gateway_without_contact_to_the_ledger_reports_nothing(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.refresh()
                gateway._mark_unavailable("a test")
                gateway.report_load = self.fail
                gateway.report_placement()

        run_with_ledger(main)
