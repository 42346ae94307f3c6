"""The soak's judge finds each kind of broken promise, and nothing in what is allowed."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.standins import run_virtual
from bramleylead.trials.site._judge import APPLY_S
from bramleylead.trials.site._judge import EVENT_TOKENS
from bramleylead.trials.site._judge import REGRESS_S
from bramleylead.trials.site._judge import Judge
from bramleylead.trials.site._judge import answer_of


def play(main: Callable[[Judge], Awaitable[None]]) -> list[str]:
    """Return the promises that a story breaks."""

    async def run() -> list[str]:
        judge = Judge()
        await main(judge)
        return [finding.promise for finding in judge.findings]

    return run_virtual(run, seed=1)


class JudgeTest(unittest.TestCase):
    def test_what_is_allowed_breaks_nothing(self) -> None:
        async def main(judge: Judge) -> None:
            judge.moved("old")
            judge.asked("turn-1", "g", repeatable=False)
            judge.expect_body("turn-1", b"in")
            judge.ran("turn-1", "a", "models", b"in")
            judge.answered("turn-1", 200, answer_of("turn-1"), whole=True)
            judge.asked("plain-safe-2", "g", repeatable=True)
            for replica in ("a", "b"):
                judge.ran("plain-safe-2", replica, "old", b"")
            judge.asked("plain-unsafe-3", "g", repeatable=False)
            judge.answered("plain-unsafe-3", 503, b"", whole=True)
            judge.handed("p", 10, budget=10, most=5)
            judge.moved("new")
            judge.asked("plain-4", "g", repeatable=True)
            judge.ran("plain-4", "b", "old", b"")

        self.assertEqual(play(main), [])

    def test_a_second_run_of_an_unsafe_request_is_found(self) -> None:
        async def main(judge: Judge) -> None:
            judge.asked("plain-1", "g", repeatable=False)
            for replica in ("a", "b"):
                judge.ran("plain-1", replica, "s", b"")

        self.assertEqual(play(main), ["at most once"])

    def test_a_refusal_of_what_ran_is_found_before_and_after(self) -> None:
        async def before(judge: Judge) -> None:
            judge.asked("plain-1", "g", repeatable=True)
            judge.ran("plain-1", "a", "s", b"")
            judge.answered("plain-1", 503, b"", whole=True)

        async def after(judge: Judge) -> None:
            judge.asked("plain-1", "g", repeatable=True)
            judge.answered("plain-1", 402, b"", whole=True)
            judge.ran("plain-1", "a", "s", b"")

        self.assertEqual((play(before), play(after)), (["not run"], ["not run"]))

    def test_another_request_s_answer_and_a_wrong_beginning_are_found(self) -> None:
        async def main(judge: Judge) -> None:
            judge.answered("turn-1", 200, answer_of("turn-2"), whole=True)
            judge.answered("turn-1", 200, answer_of("turn-1")[:-1], whole=True)
            judge.answered("turn-1", 200, answer_of("turn-2")[:-1], whole=False)

        self.assertEqual(play(main), ["whole answers"] * 3)

    def test_a_wrong_history_and_an_unasked_run_are_found(self) -> None:
        async def main(judge: Judge) -> None:
            judge.asked("turn-1", "g", repeatable=False)
            judge.expect_body("turn-1", b"chain in")
            judge.ran("turn-1", "a", "models", b"in")
            judge.ran("turn-2", "a", "models", b"in")
            judge.lost("turn-3", "turn-1")

        self.assertEqual(play(main), ["history", "unasked", "kept turns"])

    def test_more_tokens_than_budget_and_one_turn_are_found(self) -> None:
        async def main(judge: Judge) -> None:
            judge.handed("p", 4 * EVENT_TOKENS, budget=20, most=20)
            judge.handed("p", EVENT_TOKENS, budget=20, most=20)

        self.assertEqual(play(main), ["budget"])

    def test_late_work_for_a_leaving_replica_is_found_unless_a_fault_touches_the_gateway(
        self,
    ) -> None:
        async def main(judge: Judge) -> None:
            judge.drained("a")
            await anyio.sleep(APPLY_S + 1)
            judge.unsettle(["uneasy"], anyio.current_time() + 1)
            for gateway in ("uneasy", "calm"):
                judge.asked(f"plain-{gateway}", gateway, repeatable=True)
                judge.ran(f"plain-{gateway}", "a", "s", b"")

        self.assertEqual(play(main), ["draining"])

    def test_a_former_configuration_is_found_when_late_and_when_it_comes_back(self) -> None:
        async def main(judge: Judge) -> None:
            judge.moved("old")
            judge.moved("new")
            judge.asked("plain-1", "g", repeatable=True)
            judge.ran("plain-1", "b", "new", b"")
            await anyio.sleep(REGRESS_S + 0.1)
            judge.asked("plain-2", "g", repeatable=True)
            judge.ran("plain-2", "a", "old", b"")
            judge.restarted("g")
            await anyio.sleep(APPLY_S)
            judge.asked("plain-3", "g", repeatable=True)
            judge.ran("plain-3", "a", "old", b"")

        self.assertEqual(play(main), ["configuration"] * 2)
