"""Rendezvous hashing over members."""

from __future__ import annotations

import unittest

from bramleylead.fleet._members import Member
from bramleylead.fleet._rendezvous import pool_dispatcher
from bramleylead.fleet._rendezvous import preferred_owner_and_second
from bramleylead.fleet._rendezvous import rank_members
from bramleylead.fleet._rendezvous import rank_owners

PARTITIONS = 1024


def make_members(count: int) -> list[Member]:
    return [
        Member(f"n{i}", f"10.0.0.{i}:1", "", f"r{i % 4 // 2}", f"d{i % 4}") for i in range(count)
    ]


class OwnersTest(unittest.TestCase):
    def test_a_lost_member_moves_only_its_own_share(self) -> None:
        members = make_members(24)
        rest = members[1:]
        for number in range(PARTITIONS):
            before = rank_owners(number, members)[0]
            after = rank_owners(number, rest)[0]
            if before.node != "n0":
                self.assertEqual(before, after)

    def test_a_new_member_takes_its_share_and_no_more(self) -> None:
        members = make_members(24)
        moved = sum(
            rank_owners(n, members)[0] != rank_owners(n, make_members(25))[0]
            for n in range(PARTITIONS)
        )
        self.assertTrue(PARTITIONS / 25 * 0.5 < moved < PARTITIONS / 25 * 1.6, moved)

    def test_shares_follow_the_weights(self) -> None:
        members = make_members(4)
        wins = [
            rank_members(str(n), members, weight=lambda m: 3.0 if m.node == "n0" else 1.0)[0].node
            for n in range(6000)
        ]
        self.assertAlmostEqual(wins.count("n0") / 6000, 0.5, delta=0.03)

    def test_the_second_copy_is_in_another_data_centre_of_the_region(self) -> None:
        for number in range(PARTITIONS):
            owner, second = preferred_owner_and_second(number, make_members(24))
            self.assertNotEqual(owner.data_centre, second.data_centre)
            self.assertEqual(owner.region, second.region)

    def test_the_second_copy_falls_back_to_the_only_data_centre(self) -> None:
        owner, second = preferred_owner_and_second(
            1, [m for m in make_members(24) if m.data_centre == "d1"]
        )
        self.assertNotEqual(owner.node, second.node)
        self.assertIsNone(preferred_owner_and_second(1, make_members(1))[1])
        self.assertEqual(preferred_owner_and_second(1, []), (None, None))

    def test_a_pool_is_dispatched_in_its_data_centre_or_else_its_region(self) -> None:
        members = make_members(24)
        self.assertEqual(pool_dispatcher("p", "r0", "d1", members).data_centre, "d1")
        without = [m for m in members if m.data_centre != "d1"]
        self.assertEqual(pool_dispatcher("p", "r0", "d1", without).region, "r0")


if __name__ == "__main__":
    unittest.main()
