"""Nodes join, are replaced and leave, and committed entries stay on enough disks."""

from __future__ import annotations

import unittest

import anyio
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._members import view_from_plain
from bramleylead.ledger._members import view_to_plain
from bramleylead.ledger._membership import DEAD_AFTER_S
from bramleylead.standins import run_virtual
from testing.ledger._fleet import LOSSES
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import turn
from testing.ledger.test_entries import run_with_ledger

CATCH_UP_S = 4.8
"""The platform requires that a replacement has all committed entries within this time."""


class MembershipTest(unittest.TestCase):
    def test_a_node_that_joins_gets_the_entries_committed_before(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
                ledger.target_size = 4
                await ledger.start(3, tasks=tasks)
                await ledger.wait_for_members(3)
                self.assertIn(3, ledger.holders("turn/a"))
                self.assertTrue((await gateway.keep(turn("b", "a"))).is_ok())

        run_with_ledger(main)

    def test_a_client_sends_a_newer_view_to_members_that_lack_it(self) -> None:
        """Guards against members that miss the new epoch after a join, so that all entries fail."""

        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            view = ledger.members.view
            ledger.members.view = view._replace(epoch=view.epoch + 1)
            async with ledger.gateway(0) as gateway:
                self.assertTrue((await gateway.keep(turn("a"))).is_ok())
                self.assertTrue((await gateway.find_chain("a")).is_ok())

        run_with_ledger(main)

    # Guards against an older view, or a mix of two, on the disk of a node that adopts both.
    def test_of_two_views_adopted_at_once_the_later_one_is_on_disk(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            node, disk = ledger.nodes[0], ledger.disks[0]
            first = node.view._replace(epoch=node.view.epoch + 1)
            second = node.view._replace(epoch=node.view.epoch + 2)
            disk.view_delays_s = {first.epoch: 0.02, second.epoch: 0.01}
            async with anyio.create_task_group() as both:
                both.start_soon(node.adopt, first)
                both.start_soon(node.adopt, second)
            self.assertEqual((node.view, disk.view), (second, second))
            self.assertEqual(disk.most_views_at_once, 1)

        run_with_ledger(main)

    def test_a_new_view_is_sent_to_the_other_members(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            ledger.target_size = 4
            await ledger.start(3, tasks=tasks)
            await ledger.wait_for_members(3)
            await anyio.sleep(0.2)
            epochs = {ledger.nodes[i].view.epoch for i in range(4)}
            self.assertEqual(epochs, {ledger.members.view.epoch})

        run_with_ledger(main)

    def test_a_dead_member_is_removed_once_another_node_has_joined(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
                ledger.kill(0)
                await anyio.sleep(1.0)
                await ledger.start(3, tasks=tasks)
                await ledger.wait_for_members(3)
                await anyio.sleep(4.8)
                names = sorted(member.node for member in ledger.members.view.members)
                self.assertEqual(names, ["s1", "s2", "s3"])
                ledger.kill(1)
                self.assertTrue((await gateway.keep(turn("b", "a"))).is_ok())

        run_with_ledger(main)

    def test_nodes_restarted_at_other_addresses_with_their_disks_are_members(self) -> None:
        """Guards against a deadlock in which each node waits for the others to answer."""

        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
            for i in range(3):
                ledger.kill(i)
                ledger.ports[i] = 7100 + i
            for i in range(3):
                await ledger.start(i, tasks=tasks)
            await ledger.wait_for_members(0, 1, 2)
            async with ledger.gateway(0) as gateway:
                self.assertTrue((await gateway.find_chain("a")).is_ok())

        run_with_ledger(main)

    def test_a_silent_member_is_kept_if_too_few_would_remain(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            ledger.kill(0)
            await anyio.sleep(10)
            self.assertEqual(len(ledger.members.view.members), 3)

        run_with_ledger(main)

    def test_entries_of_a_node_that_left_are_on_more_disks_than_may_be_lost(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                for i in range(30):
                    await gateway.keep(turn(f"t{i}"))
                await ledger.leave(1)
                self.assertIsNone(ledger.members.view.member("s1"))
                for i in range(30):
                    self.assertGreater(len(ledger.holders(f"turn/t{i}")), LOSSES)
                ledger.kill(1)
                self.assertTrue((await gateway.keep(turn("b", "t0"))).is_ok())

        run_with_ledger(main, count=4)

    # Guards against an acknowledged turn that is reported as unknown: it was kept while a spare
    # joined, one of its holders left right after that, and the other one was silent.
    def test_a_retirement_right_after_a_join_hides_no_turn(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                (await gateway.keep(turn("a"))).unwrap()
                change = ledger.members.change
                # An entry goes to the two nearest of three members; which these are is drawn.
                leaving = int(gateway.members_by_distance()[0].node.removeprefix("s"))

                async def keep_and_change(
                    before: LedgerView, after: LedgerView
                ) -> Result[None, str]:
                    if after.member("s3") is not None and before.member("s3") is None:
                        (await gateway.keep(turn("b", "a"))).unwrap()
                        (silent,) = set(ledger.holders("turn/b")) - {leaving}
                        ledger.kill(silent)
                    return await change(before, after)

                ledger.members.change = keep_and_change  # type: ignore[method-assign]
                await ledger.start(3, tasks=tasks)
                while ledger.members.view.member(f"s{leaving}") is not None:
                    await ledger.memberships[leaving].leave()
                    await anyio.sleep(0.02)
                found = await gateway.find_chain("b")
                self.assertEqual(len(found.unwrap()), 2)

        run_with_ledger(main)

    # Guards against an acknowledged turn that is reported as unknown: it was kept while a spare
    # joined, its holders fell silent, and one of them was removed by members that lack it.
    def test_a_removal_right_after_a_join_hides_no_turn(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                (await gateway.keep(turn("a"))).unwrap()
                change = ledger.members.change
                silent: list[int] = []

                async def keep_and_change(
                    before: LedgerView, after: LedgerView
                ) -> Result[None, str]:
                    if not silent:
                        (await gateway.keep(turn("b", "a"))).unwrap()
                        silent.extend(ledger.holders("turn/b"))
                        for i in silent:
                            ledger.kill(i)
                    return await change(before, after)

                ledger.members.change = keep_and_change  # type: ignore[method-assign]
                ledger.target_size = 4
                await ledger.start(3, tasks=tasks)
                await ledger.wait_for_members(3)
                self.assertEqual(len(silent), 2)
                await anyio.sleep(2 * DEAD_AFTER_S)
                found = await gateway.find_chain("b")
                self.assertIs(found.unwrap_err().kind, ErrorKind.NOT_DURABLE)
                await ledger.start(silent[1], tasks=tasks)
                await anyio.sleep(CATCH_UP_S)
                self.assertIsNone(ledger.members.view.member(f"s{silent[0]}"))
                self.assertEqual(len((await gateway.find_chain("b")).unwrap()), 2)

        run_with_ledger(main)

    # Guards against a removal that waits for ever: a member that lost its disk can't confirm
    # anything before the other one that lost its disk is removed.
    def test_two_of_four_members_that_lost_their_disks_at_once_join_again(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            for i in (2, 3):
                ledger.kill(i)
                ledger.wipe(i)
            for i in (2, 3):
                await ledger.start(i, tasks=tasks)
            await anyio.sleep(2 * CATCH_UP_S)
            listed = {member.disk for member in ledger.members.view.members}
            self.assertLessEqual({ledger.disks[i].name for i in (0, 1, 2)}, listed)
            async with ledger.gateway(0) as gateway:
                (await gateway.keep(turn("a"))).unwrap()

        run_with_ledger(main, count=4)

    # Guards against a join that counts a member as a holder of the entries though it has lost its
    # disk after it was copied from.
    def test_no_node_joins_while_a_member_that_it_copied_from_has_lost_its_disk(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            change = ledger.members.change
            lost_at_join: list[set[str]] = []

            async def note_and_change(before: LedgerView, after: LedgerView) -> Result[None, str]:
                if after.member("s3") is not None and before.member("s3") is None:
                    disks = {disk.name for disk in ledger.disks.values()}
                    lost_at_join.append({member.disk for member in before.members} - disks)
                return await change(before, after)

            ledger.members.change = note_and_change  # type: ignore[method-assign]
            ledger.target_size = 4
            await ledger.start(3, tasks=tasks)
            joining = ledger.nodes[3]
            copy_from = joining.copy_from
            former_disk = ledger.disks[1].name

            async def copy_and_lose_disk(member: LedgerMember) -> Result[None, Failure]:
                copied = await copy_from(member)
                if member.disk == former_disk and ledger.disks[1].name == former_disk:
                    ledger.kill(1)
                    ledger.wipe(1)
                    await ledger.start(1, tasks=tasks)
                return copied

            joining.copy_from = copy_and_lose_disk  # type: ignore[method-assign]
            await ledger.wait_for_members(3)
            self.assertNotEqual(ledger.disks[1].name, former_disk)
            self.assertEqual(lost_at_join, [set()])
            await ledger.wait_for_members(0, 1, 2, 3)

        run_with_ledger(main)

    # Guards against a ledger that takes no entry any more: two members are left after a planned
    # retirement, one of them is replaced for good, and its successor can't join.
    def test_a_successor_joins_though_one_of_two_members_is_gone_for_good(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
                await ledger.leave(1)
                await gateway.keep(turn("b", "a"))
                ledger.kill(2)
                await anyio.sleep(1.0)
                await ledger.start(3, tasks=tasks)
                with anyio.fail_after(2 * CATCH_UP_S):
                    await ledger.wait_for_members(3)
                (await gateway.keep(turn("c", "b"))).unwrap()
                self.assertEqual(len((await gateway.find_chain("c")).unwrap()), 3)

        run_with_ledger(main)

    def test_a_disk_with_another_name_counts_for_no_entry_until_its_node_has_joined(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
                ledger.kill(0)
                ledger.disks[0].name, ledger.disks[0].view = "another", NO_VIEW
                before = ledger.members.view
                await ledger.start(0, tasks=tasks)
                self.assertFalse(ledger.nodes[0].is_member)
                ledger.kill(1)
                self.assertTrue((await gateway.keep(turn("b", "a"))).is_err())
                await ledger.start(1, tasks=tasks)
                await ledger.wait_for_members(0)
                joined = ledger.members.view
                self.assertEqual(joined.epoch, before.epoch + 2)
                self.assertEqual(joined.member("s0").disk, "another")
                (await gateway.keep(turn("c", "a"))).unwrap()

        run_with_ledger(main)

    def test_a_node_that_left_does_not_join_again(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            await ledger.leave(1)
            await anyio.sleep(5)
            self.assertFalse(ledger.nodes[1].is_member)

        run_with_ledger(main, count=4)

    def test_a_node_joins_once_the_store_is_available_again(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            ledger.kill(2)
            ledger.wipe(2)
            ledger.members.unavailable = True
            await ledger.start(2, tasks=tasks)
            await anyio.sleep(3)
            self.assertFalse(ledger.nodes[2].is_member)
            ledger.members.unavailable = False
            await ledger.wait_for_members(2)

        run_with_ledger(main)


class SpareTest(unittest.TestCase):
    def test_nodes_beyond_the_target_size_do_not_join(self) -> None:
        """Guards against making every node a member, which sends each entry to all nodes."""

        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            for i in (3, 4):
                await ledger.start(i, tasks=tasks)
            await anyio.sleep(10)
            self.assertFalse(ledger.nodes[3].is_member or ledger.nodes[4].is_member)

        run_with_ledger(main)

    def test_spares_do_not_read_the_store_while_the_members_are_well(self) -> None:
        # With 19 spares, these reads were the dearest price of a day of a large deployment.
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            for i in (3, 4, 5):
                await ledger.start(i, tasks=tasks)
            await anyio.sleep(2)
            ledger.members.reads = 0
            await anyio.sleep(30)
            self.assertEqual(ledger.members.reads, 0)

        run_with_ledger(main)

    def test_one_of_several_spares_replaces_a_dead_member(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            for i in (3, 4, 5, 6, 7):
                await ledger.start(i, tasks=tasks)
            await anyio.sleep(2)
            ledger.members.reads = 0
            ledger.kill(0)
            await anyio.sleep(CATCH_UP_S)
            members = {member.node for member in ledger.members.view.members}
            self.assertEqual(len(members), 3)
            self.assertNotIn("s0", members)
            self.assertLess(ledger.members.reads, 10)

        run_with_ledger(main)

    def test_a_spare_replaces_a_dead_member(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            await ledger.start(3, tasks=tasks)
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
                ledger.kill(1)
                started = anyio.current_time()
                await ledger.wait_for_members(3)
                self.assertIn(3, ledger.holders("turn/a"))
                await anyio.sleep(started + CATCH_UP_S - anyio.current_time())
                ledger.kill(0)
                self.assertTrue((await gateway.keep(turn("b", "a"))).is_ok())

        run_with_ledger(main)

    def test_a_spare_replaces_a_leaving_member(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            await ledger.start(3, tasks=tasks)
            await anyio.sleep(2)
            self.assertFalse(ledger.nodes[3].is_member)
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
            await ledger.leave(1)
            self.assertTrue(ledger.nodes[3].is_member)
            self.assertEqual(set(ledger.holders("turn/a")), {0, 2, 3})

        run_with_ledger(main)

    def test_a_spare_may_leave_right_after_its_start(self) -> None:
        """Guards against a spare that can't leave because it has not read the member list yet."""

        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            await ledger.start(3, tasks=tasks)
            await ledger.leave(3)
            self.assertIsNone(ledger.members.view.member("s3"))
            async with ledger.gateway(0) as gateway:
                self.assertTrue((await gateway.keep(turn("a"))).is_ok())

        run_with_ledger(main)

    def test_the_first_members_are_spread_over_regions(self) -> None:
        async def run() -> None:
            ledger = Ledger()
            async with anyio.create_task_group() as tasks:
                for i in (0, 3, 6, 1, 4, 2):
                    await ledger.start(i, tasks=tasks)
                await anyio.sleep(8)
                members = ledger.members.view.members
                self.assertEqual(len(members), 3)
                self.assertEqual({member.data_centre for member in members}, {"d0", "d1", "d2"})
                tasks.cancel_scope.cancel()

        run_virtual(run, seed=1)


class ViewTest(unittest.TestCase):
    def test_a_majority_and_more_than_the_losses_must_acknowledge(self) -> None:
        for members, losses, needed in ((1, 0, 1), (3, 1, 2), (4, 1, 3), (3, 2, 3), (5, 1, 3)):
            with self.subTest(members=members, losses=losses):
                view = LedgerView(1, tuple(LedgerMember(f"s{i}", "", "") for i in range(members)))
                self.assertEqual(view.acks_needed(losses), needed)

    def test_a_view_is_unchanged_by_a_json_round_trip(self) -> None:
        view = LedgerView(3, (LedgerMember("s", "10.0.0.1:7", "d"),))
        self.assertEqual(view_from_plain(view_to_plain(view)), view)
        for bad in ({}, {"epoch": 1}, {"epoch": 1, "members": [{"x": 1}]}, None):
            with self.subTest(bad=bad), self.assertRaises(ValueError):
                view_from_plain(bad)
