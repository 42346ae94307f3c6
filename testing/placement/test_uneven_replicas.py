"""Replays of replicas that change speed, and of replicas whose memory is scarce."""

from __future__ import annotations

import unittest

from bramleylead.standins import run_virtual
from testing.placement._data_centres import DataCentreReplay
from testing.placement._replay import Load
from testing.placement._uneven_replay import Knowledge
from testing.placement._uneven_replay import UnevenReplay

UNEVEN = Load(30, 24, 8, programs_per_s=0.0, seconds=8.0, admits_all=True)
LONG = Load(30, 8, 8, programs_per_s=0.0, seconds=4.0, turns=4, turn_tokens=1_680)
MEAN_SLOWDOWN = 1.3
SEEDS = (1, 2)


def replay(load: Load, share_of_capacity: float, *, seed: int, **options: object) -> UnevenReplay:
    """Replay a load and return what was counted."""
    replays = []
    programs_per_s = share_of_capacity * load.capacity_programs_per_s

    async def main() -> None:
        replays.append(UnevenReplay(load._replace(programs_per_s=programs_per_s), **options))
        await replays[0].run()

    run_virtual(main, seed=seed)
    return replays[0]


class SpeedTest(unittest.TestCase):
    """One replica in seven is slow for 600 ms at a time, one in three for good."""

    def on_time(self, knowledge: Knowledge) -> int:
        return sum(
            replay(
                UNEVEN, 0.55 / MEAN_SLOWDOWN, seed=seed, knowledge=knowledge, changes_speed=True
            ).on_time
            for seed in SEEDS
        )

    def test_goodput_is_nearly_that_of_a_selector_that_knows_each_speed_at_once(self) -> None:
        best = self.on_time(Knowledge.ALL)
        self.assertGreaterEqual(self.on_time(Knowledge.FIGURES), 0.97 * best)
        # Shows that the load is one under which the figures matter.
        self.assertLess(self.on_time(Knowledge.NOTHING), 0.97 * best)


class MemoryTest(unittest.TestCase):
    """Programs with long histories, at 1.3 times the capacity for 4 s."""

    def overfull(self, *, checks_room: bool) -> int:
        return sum(
            engine.overfull
            for seed in SEEDS
            for engine in replay(
                LONG,
                1.3,
                seed=seed,
                memory_tokens=234_075,
                history_turns=8,
                checks_room=checks_room,
            ).uneven_engines()
        )

    def test_few_requests_are_sent_to_full_memory(self) -> None:
        # Not none: gateways that choose within 8 ms don't know of each other's choice.
        self.assertLess(self.overfull(checks_room=True), 0.3 * self.overfull(checks_room=False))


class DataCentreTest(unittest.TestCase):
    """The callers of six data centres vary by half, one after the other."""

    def test_only_a_surplus_is_sent_to_another_data_centre(self) -> None:
        replays = []
        load = UNEVEN._replace(
            seconds=6.5,
            programs_per_s=0.6 / MEAN_SLOWDOWN * UNEVEN.capacity_programs_per_s,
        )

        async def main() -> None:
            replays.append(DataCentreReplay(load, knowledge=Knowledge.FIGURES, changes_speed=True))
            await replays[0].run()

        run_virtual(main, seed=1)
        replayed = replays[0]
        # 0.70 and 0.16 with the distance costs of replicas that don't report their speed.
        self.assertLess(replayed.data_centre_requests, 0.5 * replayed.arrivals)
        self.assertLess(replayed.region_requests, 0.08 * replayed.arrivals)
        self.assertGreater(replayed.on_time, 0.95 * replayed.finished)
