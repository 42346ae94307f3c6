"""Loads of a large deployment, replayed: bursts, overload that lasts, and a replica that joins."""

from __future__ import annotations

import unittest

from bramleylead.standins import run_virtual
from testing.placement._replay import Load
from testing.placement._replay import Replay

LARGE = Load(gateways=171, replicas=32, slots=6, programs_per_s=0.0, seconds=6.0)


def replay(load: Load, *, seed: int = 1) -> Replay:
    """Replay a load and return what was counted; the same seed gives the same replay."""
    replays = []

    async def main() -> None:
        replays.append(Replay(load))
        await replays[0].run()

    run_virtual(main, seed=seed)
    return replays[0]


def at(share_of_capacity: float, **changes: object) -> Load:
    """Return the large deployment's load at a share of its capacity."""
    programs_per_s = share_of_capacity * LARGE.capacity_programs_per_s
    return LARGE._replace(programs_per_s=programs_per_s, **changes)


class PlacementTest(unittest.TestCase):
    """171 gateways before 32 replicas: each one sends a replica a request every 25 seconds."""

    def test_no_turn_waits_at_a_full_replica_while_another_has_a_free_slot(self) -> None:
        for share in (0.4, 0.6):
            replayed = replay(at(share))
            self.assertLess(replayed.needless_waits, 0.01 * replayed.arrivals)

    def test_shared_prompt_parts_are_rarely_read_again(self) -> None:
        self.assertLessEqual(replay(at(0.5, seconds=12.0)).reread_share, 0.15)

    def test_a_replica_that_joins_empty_is_filled_and_not_flooded(self) -> None:
        async def main() -> None:
            replayed = Replay(at(0.5))
            joining = replayed.engines["i0"]
            others = [candidate for candidate in replayed.candidates if candidate.name != "i0"]
            everyone, replayed.candidates = replayed.candidates, others
            replayed.at(3.0, lambda: setattr(replayed, "candidates", everyone))
            await replayed.run()
            self.assertGreater(joining.read_tokens, 0)
            self.assertLessEqual(joining.most_present, joining.slots)

        run_virtual(main, seed=1)


class AdmissionTest(unittest.TestCase):
    """More programs start than the replicas can run."""

    def test_goodput_at_twice_the_capacity_is_that_at_capacity(self) -> None:
        # Over two seeds, as the programs that begin within seconds vary by a tenth.
        at_capacity = sum(replay(at(1.0), seed=seed).on_time for seed in (1, 2))
        overloaded = sum(replay(at(2.0), seed=seed).on_time for seed in (1, 2))
        self.assertGreaterEqual(overloaded, 0.9 * at_capacity)

    def test_without_admission_goodput_collapses(self) -> None:
        """Shows that the load is one under which the decision matters."""
        overloaded = replay(at(2.0, admits_all=True))
        self.assertLess(overloaded.on_time_per_s, 0.2 * replay(at(1.0)).on_time_per_s)

    def test_programs_under_way_are_never_refused(self) -> None:
        replayed = replay(at(2.0))
        self.assertEqual(replayed.refused_under_way, 0)

    def test_at_a_moderate_load_nothing_is_refused(self) -> None:
        replayed = replay(at(0.6))
        self.assertEqual(sum(replayed.refusals[count] for count in replayed.refusals if count), 0)

    def test_a_program_refused_earlier_is_admitted_before_new_ones(self) -> None:
        replayed = replay(at(1.3, seconds=8.0))
        self.assertEqual(replayed.failed, 0)
