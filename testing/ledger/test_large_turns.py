"""Turns that are larger than a page, and nodes that copy them."""

from __future__ import annotations

import unittest

import anyio
from structlog.testing import capture_logs

from bramleylead.connection import Reply
from bramleylead.connection import encode
from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._copying import STALL_LOG_INTERVAL_S
from bramleylead.ledger._copying import STALLED_AFTER_S
from bramleylead.ledger._messages import AskKeys
from bramleylead.ledger._messages import AskRecords
from bramleylead.ledger._messages import Keys
from bramleylead.ledger._messages import Records
from bramleylead.ledger._pages import PAGE_BYTES
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Spending
from bramleylead.ledger._turn_parts import MAX_PART_BYTES
from bramleylead.ledger._turn_parts import split_turn
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import turn
from testing.ledger.test_entries import joined
from testing.ledger.test_entries import run_with_ledger

SIZES = (900_000, 3_200_000, 900_000)
CATCH_UP_S = 4.8
"""The platform requires that a replacement has all committed entries within this time."""
LONG_NAME = "n" * 20_000


def sized_turn(name: str, size: int) -> KeptTurn:
    return turn(name)._replace(new_input=name.encode().ljust(size, b"."))


async def store_whole(ledger: Ledger, *turns: KeptTurn) -> None:
    """Store turns at all nodes as gateways of the version before do, whatever their size."""
    for node in ledger.nodes.values():
        await node._writer.write(list(turns))


async def replace_disk(ledger: Ledger, number: int, tasks: anyio.abc.TaskGroup) -> None:
    ledger.kill(number)
    ledger.wipe(number)
    await anyio.sleep(2.0)
    await ledger.start(number, tasks=tasks)


def answer_as_before(ledger: Ledger) -> None:
    """Make the nodes that run answer requests for records as the version before does."""
    for number, node in ledger.nodes.items():

        async def ask_records(request: AskRecords, reply: Reply, node=node) -> None:
            turns, spendings, size = [], [], 0
            for key in request.keys:
                record = node.state.get(key)
                if isinstance(record, KeptTurn):
                    turns.append(record)
                    size += len(record.new_input) + len(record.event_data)
                elif record is not None:
                    spendings.append(record)
                if size > 1_000_000:
                    break
            await reply.send(Records(tuple(turns), tuple(spendings)))

        ledger.servers[number]._handlers[AskRecords] = ask_records


class CopyTest(unittest.TestCase):
    # Guards against review case 1: an answer with turns of 0.9 and 3.2 MB fits into no frame, so a
    # node that had lost its disk never became a member again.
    def test_a_node_that_lost_its_disk_copies_large_turns(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            turns = [sized_turn(f"t{number}", size) for number, size in enumerate(SIZES)]
            await store_whole(ledger, *turns)
            await replace_disk(ledger, 0, tasks)
            with anyio.fail_after(CATCH_UP_S):
                await ledger.wait_for_members(0)
            for each in turns:
                self.assertIn(0, ledger.holders(f"turn/{each.turn}"))

        run_with_ledger(main)

    def test_entries_are_committed_after_a_second_node_has_lost_its_disk(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway, ledger.gateway(1) as other:
                turns = [sized_turn(f"t{number}", size) for number, size in enumerate(SIZES)]
                for each in turns:
                    (await gateway.keep(each)).unwrap()
                for number in (0, 1):
                    await replace_disk(ledger, number, tasks)
                    with anyio.fail_after(CATCH_UP_S):
                        await ledger.wait_for_members(number)
                (await gateway.keep(turn("next", "t1"))).unwrap()
                found = (await other.find_chain("next")).unwrap()
                self.assertEqual(joined(found), joined([turns[1], turn("next")]))

        run_with_ledger(main)

    def test_large_turns_are_copied_from_nodes_of_the_version_before(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            turns = [sized_turn(f"t{number}", size) for number, size in enumerate(SIZES)]
            await store_whole(ledger, *turns)
            answer_as_before(ledger)
            await replace_disk(ledger, 0, tasks)
            with anyio.fail_after(CATCH_UP_S):
                await ledger.wait_for_members(0)
            for each in turns:
                self.assertIn(0, ledger.holders(f"turn/{each.turn}"))

        run_with_ledger(main)

    def test_pages_of_keys_and_records_are_bounded_in_bytes(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            records = [
                Spending(LONG_NAME, f"{number}.{LONG_NAME}", 1, settled=True)
                for number in range(300)
            ]
            for node in ledger.nodes.values():
                await node._writer.write(list(records))
            async with ledger.peers(0) as peers:
                member = ledger.nodes[0].own_entry
                keys: list[str] = []
                page = Keys("", 0, (), more=True)
                while page.more:
                    request = AskKeys(page.run_id, page.last)
                    page = (await peers.request(member.address, request, timeout_s=1.0)).unwrap()
                    self.assertLessEqual(len(encode(page)), PAGE_BYTES)
                    keys += page.keys
                self.assertEqual(len(keys), len(records))
                request = AskRecords(tuple(keys[:90]))
                found = (await peers.request(member.address, request, timeout_s=1.0)).unwrap()
                self.assertLessEqual(len(encode(found)), PAGE_BYTES)
            await replace_disk(ledger, 0, tasks)
            with anyio.fail_after(CATCH_UP_S):
                await ledger.wait_for_members(0)
            self.assertEqual(len(ledger.nodes[0].state), len(records))

        run_with_ledger(main)

    # Guards against a copy that fails for good and is noticed only once the next disk is lost.
    def test_a_copy_that_keeps_failing_is_logged_once_a_minute_and_measured(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async def fail(request: AskKeys, reply: Reply) -> None:
                await reply.fail(Failure(ErrorKind.INTERNAL, "frame of 5000000 bytes"))

            ledger.servers[1]._handlers[AskKeys] = fail
            await anyio.sleep(STALLED_AFTER_S + STALL_LOG_INTERVAL_S + 5.0)
            self.assertGreater(ledger.nodes[0].gauges()["copy_failing_s"], STALL_LOG_INTERVAL_S)
            self.assertEqual(ledger.nodes[1].gauges()["copy_failing_s"], 0.0)

        with capture_logs() as lines:
            run_with_ledger(main)
        stalls = [line for line in lines if line["event"] == "copy_stalled"]
        self.assertEqual([line["node"] for line in stalls if line["node"] == "s0"], ["s0", "s0"])
        self.assertEqual({line["peer"] for line in stalls}, {"s1"})
        self.assertIn("frame of 5000000 bytes", stalls[0]["reason"])


class SplitTest(unittest.TestCase):
    def test_a_turn_up_to_the_limit_is_not_split(self) -> None:
        whole = sized_turn("a", MAX_PART_BYTES - len(turn("a").event_data))
        self.assertEqual(split_turn(whole), [whole])

    def test_the_parts_form_a_chain_with_the_same_content(self) -> None:
        whole = sized_turn("a", 4_194_304)._replace(previous="z", event_data=b"out\n" * 300_000)
        parts = split_turn(whole)
        self.assertEqual(joined(parts), joined([whole]))
        self.assertEqual([part.previous for part in parts[1:]], [part.turn for part in parts[:-1]])
        self.assertEqual((parts[0].previous, parts[-1].turn), ("z", "a"))
        self.assertEqual(sum(part.tokens for part in parts), whole.tokens)
        self.assertTrue(all(len(encode(part)) < MAX_FRAME_BYTES / 2 for part in parts))

    def test_only_the_last_part_is_charged_and_no_caller_can_name_another(self) -> None:
        *parts, last = split_turn(sized_turn("a", 3_000_000))
        self.assertEqual(({part.entry for part in parts}, last.entry), ({""}, "a"))
        self.assertTrue(all("\n" in part.turn for part in parts))
