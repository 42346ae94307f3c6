"""Nodes that copy records from one that loses its disk meanwhile."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.connection import Reply
from bramleylead.ledger._messages import AskRecords
from bramleylead.ledger._messages import CatchUp
from bramleylead.ledger._records import LedgerState
from testing.ledger._fleet import LOSSES
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import MemoryDisk
from testing.ledger._fleet import turn
from testing.ledger.test_entries import run_with_ledger

UNSAFE_S = 5.0
COPIED_WITHIN_S = 2.5
ENTRY = "turn/a"


class LostSourceTest(unittest.TestCase):
    # Guards against acknowledged turns that no member holds: a node joins and others are removed
    # while the only copy that is left is on the disk of a member that is down.
    def test_no_member_changes_while_a_source_has_lost_its_disk(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            catch_up = ledger.servers[2]._handlers[CatchUp]

            async def lose_source_and_catch_up(request: CatchUp, reply: Reply) -> None:
                if request.sources and not ledger.disks[1].name.endswith("-1"):
                    ledger.kill(1)
                    ledger.wipe(1)
                    await ledger.start(1, tasks=tasks)
                await catch_up(request, reply)

            ledger.servers[2]._handlers[CatchUp] = lose_source_and_catch_up
            await ledger.nodes[0]._writer.write([turn("a")])
            ledger.kill(0)
            before = ledger.members.view
            ledger.target_size = 4
            await ledger.start(3, tasks=tasks)
            await anyio.sleep(UNSAFE_S)
            self.assertTrue(ledger.disks[1].name.endswith("-1"))
            self.assertEqual(ledger.members.view, before)
            await ledger.start(0, tasks=tasks)
            await ledger.wait_for_members(0, 1, 2)
            self.assertGreater(len(ledger.holders(ENTRY)), LOSSES)

        run_with_ledger(main)

    # Guards against keys that count as copied, though their records were lost with the disk.
    def test_records_missing_from_the_answer_of_another_run_are_not_taken_as_expired(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            source = ledger.nodes[1]
            member = source.own_entry

            async def restart_empty_and_answer(request: AskRecords, reply: Reply) -> None:
                source._run_id, source._state = "next", LedgerState()
                source._disk = MemoryDisk("another")
                await source._ask_records(request, reply)

            ledger.servers[1]._handlers[AskRecords] = restart_empty_and_answer
            await source._writer.write([turn("a")])
            self.assertTrue((await ledger.nodes[0].copy_from(member)).is_err())

        run_with_ledger(main)

    def test_a_source_that_restarts_with_its_disk_is_copied_from(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            ledger.kill(1)
            ledger.disks[1].records.append(turn("a"))
            await ledger.start(1, tasks=tasks)
            await anyio.sleep(COPIED_WITHIN_S)
            self.assertEqual(sorted(ledger.holders(ENTRY)), [0, 1, 2])

        run_with_ledger(main)
