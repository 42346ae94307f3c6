"""Entries are committed once they are on enough disks, and no committed entry is lost."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.errors import ErrorKind
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Spending
from bramleylead.standins import run_virtual
from testing.ledger._fleet import LOSSES
from testing.ledger._fleet import PORT
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import gateway_host
from testing.ledger._fleet import host
from testing.ledger._fleet import running_ledger
from testing.ledger._fleet import turn


def run_with_ledger(
    main: Callable[[Ledger, anyio.abc.TaskGroup], Awaitable[None]], count: int = 3
) -> None:
    async def run() -> None:
        async with running_ledger(count) as (ledger, tasks):
            await main(ledger, tasks)

    run_virtual(run, seed=1)


def joined(turns: list[KeptTurn]) -> bytes:
    """Return the inputs and outputs of turns, as a replica gets them."""
    return b"".join(each.new_input + each.event_data for each in turns)


class EntryTest(unittest.TestCase):
    def test_a_committed_turn_is_on_more_disks_than_may_be_lost(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                self.assertTrue((await gateway.keep(turn("a"))).is_ok())
                self.assertGreater(len(ledger.holders("turn/a")), LOSSES)

        run_with_ledger(main)

    def test_a_turn_and_its_chain_are_found_after_the_loss_of_a_disk_that_held_it(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
                await gateway.keep(turn("b", "a"))
                lost = ledger.holders("turn/b")[0]
                ledger.kill(lost)
                ledger.wipe(lost)
                found = await gateway.find_chain("b")
                self.assertEqual([kept.turn for kept in found.unwrap()], ["a", "b"])

        run_with_ledger(main)

    def test_a_turn_survives_the_loss_of_one_disk_after_the_other(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(1) as gateway:
                await gateway.keep(turn("a"))
                for i in (0, 1, 2, 0):
                    ledger.kill(i)
                    ledger.wipe(i)
                    await anyio.sleep(1.0)
                    await ledger.start(i, tasks=tasks)
                    await ledger.wait_for_members(i)
                    await anyio.sleep(2.0)
                found = await gateway.find_chain("a")
                self.assertEqual([kept.turn for kept in found.unwrap()], ["a"])

        run_with_ledger(main)

    def test_a_turn_survives_a_power_loss_of_all_nodes_after_the_acknowledgement(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
            for i in range(3):
                ledger.kill(i)
            ledger.wipe(0)
            for i in range(3):
                await ledger.start(i, tasks=tasks)
            async with ledger.gateway(0) as gateway:
                found = await gateway.find_chain("a")
                self.assertEqual([kept.turn for kept in found.unwrap()], ["a"])

        run_with_ledger(main)

    def test_an_absent_turn_is_unknown_only_if_enough_members_lack_it(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                absent = await gateway.find_chain("none")
                self.assertIs(absent.unwrap_err().kind, ErrorKind.UNKNOWN_TURN)
                ledger.kill(1)
                ledger.kill(2)
                unsure = await gateway.find_chain("none")
                self.assertIs(unsure.unwrap_err().kind, ErrorKind.NOT_DURABLE)

        run_with_ledger(main)

    def test_no_entry_is_committed_without_enough_members(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.refresh()
                ledger.kill(1)
                ledger.kill(2)
                kept = await gateway.keep(turn("a"))
                self.assertIs(kept.unwrap_err().kind, ErrorKind.NOT_DURABLE)
                self.assertGreater(kept.unwrap_err().retry_after_s, 0)

        run_with_ledger(main)

    def test_a_node_with_a_full_disk_acknowledges_nothing(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                ledger.disks[0].full = True
                self.assertTrue((await gateway.keep(turn("a"))).is_ok())
                ledger.disks[1].full = True
                self.assertTrue((await gateway.keep(turn("b"))).is_err())
                ledger.disks[0].full = False
                self.assertTrue((await gateway.keep(turn("b"))).is_ok())

        run_with_ledger(main)

    def test_a_turn_too_large_for_a_message_is_kept_as_well_as_later_turns(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway, ledger.gateway(1) as other:
                large = turn("a")._replace(new_input=bytes(MAX_FRAME_BYTES))
                (await gateway.keep(large)).unwrap()
                (await gateway.keep(turn("b", "a"))).unwrap()
                found = (await other.find_chain("b")).unwrap()
                self.assertEqual(joined(found), joined([large, turn("b", "a")]))

        run_with_ledger(main)

    def test_a_view_that_can_not_be_written_to_disk_is_not_adopted(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            ledger.disks[0].full = True
            before = ledger.nodes[0].view
            await ledger.nodes[0].adopt(before._replace(epoch=before.epoch + 1))
            self.assertEqual(ledger.nodes[0].view, before)

        run_with_ledger(main)

    def test_entries_are_committed_while_the_store_is_unavailable(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
                ledger.members.unavailable = True
                self.assertTrue((await gateway.keep(turn("b", "a"))).is_ok())
                ledger.network.cut(host(0), host(1))
                self.assertTrue((await gateway.keep(turn("c", "b"))).is_ok())

        run_with_ledger(main)


class UnknownTurnTest(unittest.TestCase):
    """A turn is only said to be unknown if enough members lack it."""

    def test_a_gateway_that_knows_too_few_members_does_not_deny_a_turn(self) -> None:
        # A gateway that learnt of the first members only, and was then cut off from all of them,
        # needed no member at all to lack the turn.
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway, ledger.gateway(1) as other:
                self.assertTrue((await other.keep(turn("a"))).is_ok())
                few = LedgerView(1, (ledger.nodes[0].own_entry,))
                gateway._members.adopt(few, source="a test")
                for i in range(3):
                    ledger.network.cut(gateway_host(0), host(i))
                ledger.members.unavailable = True
                found = await gateway.find_chain("a")
                self.assertEqual(found.err_value.kind, ErrorKind.NOT_DURABLE)

        run_with_ledger(main)

    def test_a_turn_committed_while_a_node_joined_is_not_denied(self) -> None:
        # It is on two of three disks; the joining node had copied the records before.
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                self.assertTrue((await gateway.keep(turn("a"))).is_ok())
                before = ledger.nodes[0].view
                joined = LedgerMember("s3", f"{host(3)}:{PORT}", "disk-3", "d0")
                after = before.with_member(joined)
                lacking = len(after.members) - before.acks_needed(LOSSES)
                self.assertEqual(lacking, 2)
                self.assertGreater(after.absences_needed(LOSSES), lacking)

        run_with_ledger(main)

    def test_an_entry_of_the_epoch_before_is_never_denied(self) -> None:
        members = [LedgerMember(f"s{i}", "", f"disk-{i}") for i in range(9)]
        for losses in (1, 2):
            for count in range(losses + 1, 8):
                view = LedgerView(1, tuple(members[:count]))
                lacking = count - view.acks_needed(losses)
                for after, joined in (
                    (view.with_member(members[8]), 1),
                    (view.without("s0"), 0),
                    (view.without(f"s{count - 1}"), -1),
                ):
                    self.assertGreater(after.absences_needed(losses), lacking + joined)

    def test_a_turn_that_no_member_has_is_unknown(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                found = await gateway.find_chain("never kept")
                self.assertEqual(found.err_value.kind, ErrorKind.UNKNOWN_TURN)

        run_with_ledger(main)


class SpendingTest(unittest.TestCase):
    def test_a_settled_turn_is_charged_what_it_spent(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.reserve(Spending("p", "a", 100, False))
                await gateway.settle(Spending("p", "a", 7, True))
                known = (await gateway.reserve(Spending("p", "b", 100, False))).unwrap().spendings
                self.assertEqual(known["a"].tokens, 7)

        run_with_ledger(main)

    def test_of_two_concurrent_reservations_at_least_one_sees_the_other(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as near, ledger.gateway(1) as far:
                await near.refresh()
                await far.refresh()
                for round_ in range(20):
                    program = f"p{round_}"
                    seen = {}

                    async def reserve(gateway, turn_, program=program, seen=seen) -> None:
                        spending = Spending(program, turn_, 100, False)
                        seen[turn_] = (await gateway.reserve(spending)).unwrap().spendings

                    async with anyio.create_task_group() as both:
                        both.start_soon(reserve, near, "a")
                        both.start_soon(reserve, far, "b")
                    self.assertTrue("b" in seen["a"] or "a" in seen["b"])

        run_with_ledger(main)

    def test_spendings_on_a_wiped_disk_are_known_after_the_node_has_joined_again(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.reserve(Spending("p", "a", 100, False))
                held = ledger.holders("reserved/p/a")[0]
                ledger.kill(held)
                ledger.wipe(held)
                await ledger.start(held, tasks=tasks)
                await ledger.wait_for_members(held)
                other = next(i for i in range(3) if i != held)
                ledger.kill(other)
                known = (await gateway.reserve(Spending("p", "b", 100, False))).unwrap().spendings
                self.assertEqual(sorted(known), ["a", "b"])

        run_with_ledger(main)


class AvailabilityTest(unittest.TestCase):
    def test_reservations_fail_at_once_until_enough_members_answer_again(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                tasks.start_soon(gateway.run_probes)
                await gateway.reserve(Spending("p", "a", 1, False))
                for i in range(3):
                    ledger.network.cut(gateway_host(0), host(i))
                self.assertTrue((await gateway.reserve(Spending("p", "b", 1, False))).is_err())
                self.assertTrue(gateway.is_unavailable)
                started = anyio.current_time()
                self.assertTrue((await gateway.reserve(Spending("p", "c", 1, False))).is_err())
                self.assertLess(anyio.current_time() - started, 0.05)
                for i in range(3):
                    ledger.network.heal(gateway_host(0), host(i))
                await anyio.sleep(2)
                self.assertFalse(gateway.is_unavailable)
                self.assertTrue((await gateway.reserve(Spending("p", "d", 1, False))).is_ok())

        run_with_ledger(main)
