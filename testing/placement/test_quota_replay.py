"""Quotas of 78 customers at 63 gateways, with floods and failures, in virtual time."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.customers import Quota
from bramleylead.placement._quotas import owner_rank
from bramleylead.standins import run_virtual
from testing.placement._quota_replay import WINDOW_S
from testing.placement._quota_replay import Replay
from testing.placement._quota_replay import usual_rates

LARGE, MIDDLE, SMALL = "c0", "c10", "c20"
FLOOD_FACTOR = 6.0
FLOOD_S = 6.0
BEFORE_S = 6.0
AFTER_S = 6.0
FEW_WAYS = 4
MAX_REFUSED_SHARE = 1 / 200

Scenario = Callable[[Replay], Awaitable[None]]


async def _flood(replay: Replay, name: str, ways: int | None = FEW_WAYS) -> None:
    extra_per_s = replay.usual_per_s[name] * (FLOOD_FACTOR - 1.0)
    gateways = list(replay.gateways)[:ways]
    await replay.flood(name, extra_per_s, gateways, for_s=FLOOD_S)


def _start_floods(replay: Replay, *names: str, ways: int | None = FEW_WAYS) -> None:
    for name in names:
        replay.tasks.start_soon(_flood, replay, name, ways)


def _owner(replay: Replay, name: str) -> str:
    return max(replay.nodes, key=lambda node: owner_rank(name, node))


class QuotaReplayTest(unittest.TestCase):
    def replay(self, scenario: Scenario, check: Callable[[Replay], None]) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                replay = Replay(tasks, usual_per_s=usual_rates())
                await replay.start()
                await anyio.sleep(BEFORE_S)
                await scenario(replay)
                await anyio.sleep(AFTER_S)
                check(replay)
                tasks.cancel_scope.cancel()

        run_virtual(main, seed=1)

    def check_bounds(self, replay: Replay) -> None:
        for name in replay.customers:
            self.assertLessEqual(replay.most_in_window(name), replay.bound(name), name)

    def check_refusals(self, replay: Replay, *flooding: str) -> None:
        """Check the customers within their quota, and those that flood, separately."""
        others = [name for name in replay.customers if name not in flooding]
        for names in (others, flooding):
            within = sum(map(replay.refused_within_quota, names))
            sent = sum(len(replay.sent[name]) for name in names)
            self.assertLessEqual(within, MAX_REFUSED_SHARE * (sent + within), names)
        for name in flooding:
            self.assertGreater(len(replay.refused[name]), 20)
            quota = replay.customers[name].quota
            assert quota is not None
            self.assertGreaterEqual(replay.most_in_window(name), quota.allowed(WINDOW_S))

    def test_floods_through_few_gateways_are_held_at_the_quota(self) -> None:
        """Guards against gateways that each admit a flood, and against refusing the others."""

        async def scenario(replay: Replay) -> None:
            _start_floods(replay, LARGE, MIDDLE, SMALL)
            await anyio.sleep(FLOOD_S)

        def check(replay: Replay) -> None:
            self.check_bounds(replay)
            self.check_refusals(replay, LARGE, MIDDLE, SMALL)

        self.replay(scenario, check)

    def test_floods_through_all_gateways_are_held_at_the_quota(self) -> None:
        """Guards against the sum of what many gateways admit without asking."""

        async def scenario(replay: Replay) -> None:
            _start_floods(replay, LARGE, MIDDLE, SMALL, ways=None)
            await anyio.sleep(FLOOD_S)

        def check(replay: Replay) -> None:
            self.check_bounds(replay)
            self.check_refusals(replay, LARGE, MIDDLE, SMALL)

        self.replay(scenario, check)

    def test_the_next_member_grants_permits_when_the_owner_is_killed(self) -> None:
        """Guards against two owners' worth of permits, and against refusals without an owner."""

        async def scenario(replay: Replay) -> None:
            _start_floods(replay, LARGE, SMALL)
            await anyio.sleep(FLOOD_S / 2)
            await replay.kill(_owner(replay, LARGE))

        def check(replay: Replay) -> None:
            self.check_bounds(replay)
            self.check_refusals(replay, LARGE, SMALL)

        self.replay(scenario, check)

    def test_gateways_cut_off_from_the_ledger_stay_within_the_bound(self) -> None:
        """Guards against gateways out of contact that add to what the others are granted."""

        async def scenario(replay: Replay) -> None:
            replay.cut_off.update(replay.rng.sample(list(replay.gateways), 22))
            _start_floods(replay, LARGE, MIDDLE, SMALL, ways=None)
            await anyio.sleep(9.0)
            replay.cut_off.clear()

        self.replay(scenario, self.check_bounds)

    def test_a_restart_of_all_ledger_nodes_grants_no_second_burst(self) -> None:
        """Guards against owners that begin with a full bucket while a customer is at its limit."""

        async def scenario(replay: Replay) -> None:
            _start_floods(replay, LARGE, MIDDLE, SMALL)
            await anyio.sleep(FLOOD_S / 2)
            for node in replay.nodes.values():
                node.alive = False
            await anyio.sleep(1.5)
            for node in replay.nodes.values():
                node.start()
            await anyio.sleep(FLOOD_S / 2)

        self.replay(scenario, self.check_bounds)

    def test_a_lowered_quota_applies_one_window_later(self) -> None:
        """Guards against a former quota that stays in force, and against refusing everything."""
        lower = Quota(8.0, 4.0)
        changed_at = 0.0

        async def scenario(replay: Replay) -> None:
            nonlocal changed_at
            _start_floods(replay, LARGE)
            await anyio.sleep(1.0)
            replay.set_quota(LARGE, lower)
            changed_at = anyio.current_time()
            await anyio.sleep(FLOOD_S + WINDOW_S)

        def check(replay: Replay) -> None:
            after = changed_at + WINDOW_S
            sent = replay.most_in_window(LARGE, after=after)
            self.assertLessEqual(sent, replay.bound(LARGE))
            self.assertGreaterEqual(sent, lower.rate_per_s * WINDOW_S * 0.95)
            soon = [at for at in replay.sent[LARGE] if changed_at < at <= after]
            self.assertGreaterEqual(len(soon), lower.rate_per_s * WINDOW_S * 0.9)

        self.replay(scenario, check)
