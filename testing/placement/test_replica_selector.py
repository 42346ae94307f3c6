"""Load, cached prompts and distance decide the choice of a replica."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._prompt import Prompt
from bramleylead.placement._prompt_caches import MAX_KNOWN_PARTS
from bramleylead.placement._replica_health import MAX_EJECTION_S
from bramleylead.placement._replica_selector import REPORTED_LOAD_DECAY_S
from bramleylead.placement._replica_selector import Candidate
from bramleylead.placement._replica_selector import ReplicaSelector
from bramleylead.standins import run_virtual

NEAR = Candidate("near", 4, 50_000, True, True)
FAR = Candidate("far", 4, 50_000, False, False)
EMPTY_PROMPT = Prompt(())
LONG_PROMPT = Prompt((("shared", 12_000), ("own", 1_000)))


def run_with_selector(main: Callable[[ReplicaSelector], Awaitable[None]]) -> None:
    async def run() -> None:
        await main(ReplicaSelector())

    run_virtual(run, seed=1)


class ReplicaSelectorTest(unittest.TestCase):
    def choose(self, selector: ReplicaSelector, prompt: Prompt = EMPTY_PROMPT) -> str:
        candidate = selector.choose([NEAR, FAR], prompt)
        assert candidate is not None
        return candidate.name

    def test_the_nearer_of_two_idle_replicas_is_chosen(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            for _ in range(4):
                self.assertEqual(self.choose(selector), "near")

        run_with_selector(main)

    def test_a_distant_replica_is_chosen_over_a_full_one(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            for _ in range(4):
                selector.start_request(NEAR, EMPTY_PROMPT)
            self.assertEqual(self.choose(selector), "far")
            for _ in range(4):
                selector.end_request("near", EMPTY_PROMPT)
            self.assertEqual(self.choose(selector), "near")

        run_with_selector(main)

    def test_a_long_prompt_is_sent_where_it_is_cached(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            selector.start_request(FAR, LONG_PROMPT)
            selector.end_request("far", LONG_PROMPT)
            self.assertEqual(self.choose(selector, LONG_PROMPT), "far")
            self.assertEqual(self.choose(selector), "near")

        run_with_selector(main)

    def test_only_a_prefix_of_a_prompt_counts_as_cached(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            selector.start_request(FAR, Prompt((("other", 10), ("own", 1_000))))
            selector.end_request("far", EMPTY_PROMPT)
            prompt = Prompt((("shared", 12_000), ("own", 1_000)))
            self.assertEqual(selector.cost(FAR, prompt) - selector.cost(FAR, EMPTY_PROMPT), 13_000)

        run_with_selector(main)

    def test_the_least_recently_used_part_is_assumed_to_be_evicted(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            selector.start_request(NEAR, Prompt((("old", 30_000),)))
            selector.start_request(NEAR, Prompt((("new", 30_000),)))
            base_cost = selector.cost(NEAR, EMPTY_PROMPT)
            self.assertEqual(selector.cost(NEAR, Prompt((("old", 30_000),))) - base_cost, 30_000)
            self.assertEqual(selector.cost(NEAR, Prompt((("new", 30_000),))), base_cost)

        run_with_selector(main)

    def test_the_reported_load_of_other_nodes_decays(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            selector.start_request(NEAR, EMPTY_PROMPT)
            selector.record_load("near", 5)
            self.assertEqual(selector.running("near"), 5)
            self.assertEqual(self.choose(selector), "far")
            await anyio.sleep(REPORTED_LOAD_DECAY_S)
            self.assertEqual(selector.running("near"), 1)

        run_with_selector(main)

    def test_a_replica_that_failed_is_avoided_for_a_while(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            selector.health.record_connect_failure("near", reason="a test")
            self.assertEqual(self.choose(selector), "far")
            await anyio.sleep(MAX_EJECTION_S)
            self.assertEqual(self.choose(selector), "near")

        run_with_selector(main)

    def test_equal_replicas_take_turns(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            pair = [NEAR, NEAR._replace(name="next")]
            names = {selector.choose(pair, EMPTY_PROMPT).name for _ in range(4)}
            self.assertEqual(names, {"near", "next"})

        run_with_selector(main)

    def test_requests_on_the_same_object_go_to_the_same_replica_while_it_has_room(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            group = [NEAR._replace(name=f"i{number}") for number in range(4)]
            prompt = Prompt((), affinity="object-1")
            names = {selector.choose(group, prompt).name for _ in range(8)}
            self.assertEqual(len(names), 1)
            preferred = next(candidate for candidate in group if candidate.name in names)
            for _ in range(3):
                selector.start_request(preferred, prompt)
            self.assertNotEqual(selector.choose(group, prompt).name, preferred.name)

        run_with_selector(main)

    def test_the_load_of_other_gateways_counts(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            selector.record_fleet_load(FleetLoad({"near": 4}, ()), EMPTY_PROMPT)
            self.assertEqual(self.choose(selector), "far")

        run_with_selector(main)

    def test_the_load_that_a_plain_replica_reports_outlasts_what_gateways_report(self) -> None:
        # Gateways report with their turns, so what they tell of plain replicas is often old.
        async def main(selector: ReplicaSelector) -> None:
            selector.start_request(NEAR, EMPTY_PROMPT)
            selector.record_load("near", 5)
            selector.end_request("near", EMPTY_PROMPT)
            await anyio.sleep(0.01)
            selector.record_fleet_load(FleetLoad({"far": 1}, ()), LONG_PROMPT)
            self.assertEqual(self.choose(selector), "far")

        run_with_selector(main)

    def test_a_prompt_is_sent_where_another_gateway_had_it_run(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            holders = (("far",), ("far",))
            selector.record_fleet_load(FleetLoad({}, holders), LONG_PROMPT)
            self.assertEqual(self.choose(selector, LONG_PROMPT), "far")

        run_with_selector(main)

    def test_what_is_known_of_a_replica_that_is_never_chosen_stays_small(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            for number in range(2 * MAX_KNOWN_PARTS):
                prompt = Prompt(((f"session-{number}", 10),))
                selector.record_fleet_load(FleetLoad({}, (("far",),)), prompt)
            self.assertLessEqual(selector._caches.known_parts("far"), MAX_KNOWN_PARTS)

        run_with_selector(main)

    def test_a_session_is_sent_where_its_latest_turn_ran(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            pair = [NEAR, NEAR._replace(name="next")]
            selector.start_request(NEAR, Prompt((("session", 2_000),)))
            selector.end_request("near", EMPTY_PROMPT)
            longer = Prompt((("session", 9_000),))
            selector.record_fleet_load(FleetLoad({}, (("next", "near"),)), longer)
            for _ in range(4):
                self.assertEqual(selector.choose(pair, longer).name, "next")

        run_with_selector(main)

    def test_a_slow_replica_is_passed_over_for_an_idle_one_of_the_usual_speed(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            selector.record_load("near", 0, 2.5)
            self.assertEqual(self.choose(selector), "far")

        run_with_selector(main)

    # Guards earlier deployments: without the fourth figure costs are those of before.
    def test_without_a_speed_figure_the_cost_is_unchanged(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            selector.record_load("near", 2)
            self.assertEqual(selector.cost(NEAR, LONG_PROMPT), 13_000 + 2 * 2_400 + 12_500)

        run_with_selector(main)

    def test_distance_costs_turns_more_only_if_replicas_report_their_speed(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            before = [selector.cost(FAR, prompt) for prompt in (LONG_PROMPT, EMPTY_PROMPT)]
            selector.record_load("near", 0, 1.0)
            after = [selector.cost(FAR, prompt) for prompt in (LONG_PROMPT, EMPTY_PROMPT)]
            self.assertEqual(before, [18_000, 5_000])
            self.assertEqual(after, [25_000, 5_000])

        run_with_selector(main)

    def test_a_replica_without_room_for_a_request_is_no_candidate(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            large = Prompt((("own", 30_000),), tokens=30_000)
            selector.start_request(NEAR, large)
            for under_way in (False, True):
                found = selector.with_room([NEAR, FAR], large, under_way=under_way)
                self.assertEqual(found, [FAR])
            selector.end_request("near", large)
            self.assertTrue(selector.has_room(NEAR, large))

        run_with_selector(main)

    def test_first_turns_leave_a_reserve_to_programs_in_progress(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            turn = Prompt((("own", 22_000),), tokens=22_000)
            selector.start_request(NEAR, turn)
            self.assertEqual(selector.with_room([NEAR], turn, under_way=False), [])
            self.assertEqual(selector.with_room([NEAR], turn, under_way=True), [NEAR])

        run_with_selector(main)

    # Guards against refusing a long request forever that fits into an empty replica.
    def test_an_empty_replica_has_room_for_whatever_fits(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            largest = Prompt((("own", 50_000),), tokens=50_000)
            self.assertEqual(selector.with_room([NEAR], largest, under_way=False), [NEAR])
            beyond = largest._replace(tokens=50_001)
            self.assertEqual(selector.with_room([NEAR], beyond, under_way=True), [])

        run_with_selector(main)

    def test_memory_is_not_checked_without_a_figure(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            plain = NEAR._replace(cache_tokens=0)
            huge = Prompt((("own", 10**9),), tokens=10**9)
            self.assertEqual(selector.with_room([plain], huge, under_way=False), [plain])
            self.assertEqual(selector.with_room([NEAR], LONG_PROMPT, under_way=False), [NEAR])

        run_with_selector(main)

    def test_without_candidates_none_is_chosen(self) -> None:
        async def main(selector: ReplicaSelector) -> None:
            self.assertIsNone(selector.choose([], EMPTY_PROMPT))

        run_with_selector(main)
