"""Membership over a fake network: joins, deaths, pauses, partitions, replaced nodes."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.fleet._members import MemberState
from bramleylead.standins import run_virtual
from testing.process.fleet import Fleet
from testing.process.fleet import host
from testing.process.fleet import running
from testing.process.fleet import until

SEEDS = (1, 2, 3)


class MembershipTest(unittest.TestCase):
    def test_a_killed_node_is_dead_in_all_views_within_eight_seconds(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 8):
                fleet.kill(3)
                await until(fleet.agreed, limit_s=8)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_leaving_node_is_known_to_all_within_one_second(self) -> None:
        async def body(seed: int) -> float:
            fleet = Fleet(seed=seed)
            async with running(fleet, 12):
                await fleet.nodes["n3"].leave()
                others = [node for name, node in fleet.nodes.items() if name != "n3"]
                return await until(
                    lambda: all(o.get("n3").state is MemberState.LEAVING for o in others),
                    limit_s=5,
                )

        for seed in SEEDS:
            self.assertLess(run_virtual(lambda seed=seed: body(seed), seed=seed), 1.0)

    def test_a_paused_node_rejoins_by_raising_its_incarnation(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 8):
                before = fleet.nodes["n1"].get("n3").incarnation
                fleet.network.freeze(host(3))
                dead = lambda: fleet.nodes["n1"].get("n3").state is MemberState.DEAD  # noqa: E731
                await until(dead, limit_s=10)
                await anyio.sleep(30)
                fleet.network.thaw(host(3))
                await until(fleet.agreed, limit_s=12)
                self.assertGreater(fleet.nodes["n1"].get("n3").incarnation, before)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_paused_node_declares_no_other_dead_when_it_resumes(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 8):
                fleet.network.freeze(host(3))
                await anyio.sleep(30)
                fleet.network.thaw(host(3))
                for _ in range(200):
                    await anyio.sleep(0.05)
                    for name, node in fleet.nodes.items():
                        for other in fleet.nodes:
                            if "n3" not in (name, other):
                                state = node.get(other).state
                                self.assertIsNot(state, MemberState.DEAD, (name, other))

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_indirect_probes_keep_two_disconnected_nodes_alive(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 8):
                fleet.network.cut(host(1), host(2))
                for _ in range(60):
                    await anyio.sleep(0.5)
                    self.assertTrue(fleet.agreed())

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_node_replaced_at_its_address_is_distinguished_from_the_old_one(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 6) as tasks:
                old = fleet.nodes["n1"].get("n2")
                fleet.kill(2)
                fleet.store.remove_vm("n2")
                await fleet.start(tasks, 2, name="n2b")
                await until(fleet.agreed, limit_s=8)
                self.assertIs(fleet.nodes["n1"].get("n2").state, MemberState.DEAD)
                self.assertNotEqual(old.boot_id, fleet.nodes["n1"].get("n2b").boot_id)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_node_restarted_under_its_name_gets_a_new_boot_id_in_all_views(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 6) as tasks:
                fleet.kill(2)
                await fleet.start(tasks, 2)
                boot = fleet.nodes["n2"].own.boot_id
                same = lambda: all(n.get("n2").boot_id == boot for n in fleet.nodes.values())  # noqa: E731
                await until(same, limit_s=8)
                await until(fleet.agreed, limit_s=8)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_two_halves_rejoin_after_a_long_network_partition(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 8):
                pairs = [(a, b) for a in range(8) for b in range(8) if a % 4 < 2 <= b % 4]
                for a, b in pairs:
                    fleet.network.cut(host(a), host(b))
                half = lambda: len(fleet.nodes["n0"].members()) == 4  # noqa: E731
                await until(half, limit_s=30)
                await anyio.sleep(60)
                for a, b in pairs:
                    fleet.network.heal(host(a), host(b))
                await until(fleet.agreed, limit_s=30)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_silent_streams_raise_no_suspicion_while_new_ones_work(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 6):
                for _ in range(40):
                    for other in range(1, 6):
                        fleet.network.silence(host(0), host(other))
                    await anyio.sleep(1.7)
                    for name, node in fleet.nodes.items():
                        self.assertEqual([m for m in node.members() if m.incarnation], [], name)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_flapping_node_gets_no_other_member_declared_dead(self) -> None:
        async def body(seed: int) -> None:
            fleet = Fleet(seed=seed)
            async with running(fleet, 8):
                for _ in range(10):
                    fleet.network.freeze(host(3))
                    await anyio.sleep(2.5)
                    fleet.network.thaw(host(3))
                    await anyio.sleep(1.5)
                    for node in fleet.nodes.values():
                        dead = [m for m in node._table.dead() if m.node != "n3"]
                        self.assertEqual(dead, [])
                await until(fleet.agreed, limit_s=12)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_stale_vm_list_does_not_change_membership(self) -> None:
        async def body() -> None:
            fleet = Fleet(seed=5)
            async with running(fleet, 6):
                fleet.store.remove_vm("n1")
                await anyio.sleep(40)
                self.assertTrue(fleet.agreed())
                fleet.kill(2)
                await until(fleet.agreed, limit_s=8)

        run_virtual(body, seed=5)


class StorePollTest(unittest.TestCase):
    def test_a_store_outage_is_distinguished_from_a_lost_connection_to_it(self) -> None:
        async def body() -> None:
            fleet = Fleet(seed=1)
            async with running(fleet, 8):
                node = fleet.nodes["n0"]
                fleet.cut_from_store.add(host(0))
                self.assertIs(await node.store_reachable_by_peers(), True)
                fleet.store_out = True
                await anyio.sleep(4)
                self.assertIs(await node.store_reachable_by_peers(), False)
                for i in range(1, 8):
                    fleet.network.cut(host(0), host(i))
                await anyio.sleep(4)
                self.assertIsNone(await node.store_reachable_by_peers())

        run_virtual(body, seed=1)


if __name__ == "__main__":
    unittest.main()
