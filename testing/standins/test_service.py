"""The fake tool service and what its ledger shows."""

from __future__ import annotations

import unittest

import anyio
from result import Ok

from bramleylead.backends import BackendErrorKind
from bramleylead.standins import ToolModel
from testing.standins._trial import NODE
from testing.standins._trial import OTHER_NODE
from testing.standins._trial import Trial
from testing.standins._trial import issue
from testing.standins._trial import run_trial


class ServiceTest(unittest.TestCase):
    def test_a_call_acts_once_and_its_answer_names_it(self) -> None:
        async def body(trial: Trial) -> None:
            answer = await trial.service_from().invoke(issue(), timeout_s=5)
            self.assertEqual(answer.ok_value["call"], "p/1")
            self.assertEqual(trial.service.ledger.effects, {"p/1": 1})

        run_trial(body)

    def test_a_repeated_call_shows_as_a_duplicate_effect(self) -> None:
        async def body(trial: Trial) -> None:
            for _ in range(2):
                await trial.service_from().invoke(issue(), timeout_s=5)
            self.assertEqual(trial.service.ledger.duplicate_effects, 1)

        run_trial(body)

    def test_a_repeated_call_of_a_repeatable_tool_is_no_duplicate(self) -> None:
        async def body(trial: Trial) -> None:
            for _ in range(2):
                await trial.service_from().invoke(issue(), timeout_s=5)
            self.assertEqual(trial.service.ledger.duplicate_effects, 0)

        run_trial(body, tool=ToolModel(repeatable=True))

    def test_a_lost_reply_acts_and_is_lost(self) -> None:
        async def body(trial: Trial) -> None:
            answer = await trial.service_from().invoke(issue(), timeout_s=5)
            self.assertEqual(answer.err_value.kind, BackendErrorKind.LOST)
            self.assertEqual(trial.service.ledger.effects, {"p/1": 1})

        run_trial(body, tool=ToolModel(lose_reply_rate=1.0))

    def test_a_refused_call_does_not_act(self) -> None:
        async def body(trial: Trial) -> None:
            answer = await trial.service_from().invoke(issue(), timeout_s=5)
            self.assertEqual(answer.err_value.kind, BackendErrorKind.REFUSED)
            self.assertEqual(trial.service.ledger.effects, {})

        run_trial(body, tool=ToolModel(refuse_rate=1.0))

    def test_a_call_whose_sender_gave_up_on_the_way_still_acts(self) -> None:
        async def body(trial: Trial) -> None:
            with anyio.move_on_after(0.001):
                await trial.service_from(OTHER_NODE).invoke(issue(), timeout_s=5)
            self.assertEqual(trial.service.ledger.effects, {"p/1": 1})

        run_trial(body)

    def test_a_timeout_before_sending_says_not_sent(self) -> None:
        async def body(trial: Trial) -> None:
            trial.network.freeze(NODE)
            answer = await trial.service_from().invoke(issue(), timeout_s=5)
            self.assertEqual(answer.err_value.kind, BackendErrorKind.NOT_SENT)
            self.assertEqual(trial.service.ledger.received, 0)

        run_trial(body)

    def test_a_call_across_a_cut_is_not_sent(self) -> None:
        async def body(trial: Trial) -> None:
            service = trial.service_from()
            self.assertIsInstance(await service.invoke(issue(), timeout_s=5), Ok)
            trial.network.cut(NODE, "10.0.1.2")
            answer = await service.invoke(issue("p/2"), timeout_s=5)
            self.assertEqual(answer.err_value.kind, BackendErrorKind.NOT_SENT)
            self.assertEqual(trial.service.ledger.received, 1)

        run_trial(body)

    def test_a_call_that_was_under_way_when_the_cut_came_is_lost(self) -> None:
        async def body(trial: Trial) -> None:
            service = trial.service_from(OTHER_NODE)
            kinds = []

            async def invoke() -> None:
                answer = await service.invoke(issue(), timeout_s=5)
                kinds.append(answer.err_value.kind)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(invoke)
                await anyio.sleep(0.001)
                trial.network.cut(OTHER_NODE, "10.0.1.2")
            self.assertEqual(kinds, [BackendErrorKind.LOST])
            self.assertEqual(trial.service.ledger.received, 0)

        run_trial(body)

    def test_an_old_fence_is_refused_where_it_is_checked(self) -> None:
        async def body(trial: Trial) -> None:
            service = trial.service_from()
            await service.invoke(issue("p/1", 5), timeout_s=5)
            old = await service.invoke(issue("p/2", 4), timeout_s=5)
            other = await service.invoke(issue("q/1", 1), timeout_s=5)
            self.assertEqual(old.err_value.kind, BackendErrorKind.STALE_FENCE)
            self.assertIsInstance(other, Ok)

        run_trial(body, checks_fence=True)

    def test_an_old_fence_runs_where_it_is_ignored(self) -> None:
        async def body(trial: Trial) -> None:
            service = trial.service_from()
            await service.invoke(issue("p/1", 5), timeout_s=5)
            self.assertIsInstance(await service.invoke(issue("p/2", 4), timeout_s=5), Ok)
            self.assertEqual(trial.service.ledger.stale_run, 1)

        run_trial(body)


if __name__ == "__main__":
    unittest.main()
