"""The fake engine: batching, prefix cache, reports, and each of its faults."""

from __future__ import annotations

import unittest

import anyio
from result import Err
from result import Ok

from bramleylead.backends import BackendErrorKind
from bramleylead.backends import Message
from bramleylead.backends import Order
from bramleylead.backends import OrderKind
from bramleylead.standins import answer_to
from bramleylead.standins._batch import Batch
from bramleylead.standins._batch import Sequence
from bramleylead.version import EndpointKind
from testing.standins._trial import EXACT
from testing.standins._trial import NODE
from testing.standins._trial import OTHER_NODE
from testing.standins._trial import Trial
from testing.standins._trial import ask
from testing.standins._trial import collect
from testing.standins._trial import endpoint
from testing.standins._trial import run_trial


class AnswerTest(unittest.TestCase):
    def test_an_answer_depends_on_the_conversation_only(self) -> None:
        first = answer_to([Message("user", "a [output=40]")], 100)
        self.assertEqual(first, answer_to([Message("user", "a [output=40]")], 100))
        self.assertNotEqual(first, answer_to([Message("user", "b [output=40]")], 100))

    def test_parts_of_an_answer_add_up_to_the_whole(self) -> None:
        answer = answer_to([Message("user", "a [output=100]")], 100)
        parts = answer.text(0, 1) + answer.text(1, 33) + answer.text(33, 100)
        self.assertEqual(parts, answer.text(0, 100))
        self.assertEqual(len(parts), 500)

    def test_a_long_answer_is_cut_at_the_limit(self) -> None:
        self.assertEqual(answer_to([Message("user", "[output=100]")], 30)[1:], (30, "length"))


class _Steps:
    """Counts a batch token by token, the slow way, to check the closed formula."""

    def __init__(self) -> None:
        self.ended: dict[str, float] = {}

    def may_admit(self, sequence: Sequence, reserved_tokens: int) -> bool:
        return True

    def admitted(self, sequence: Sequence, at_s: float) -> None:
        sequence.prefill_left = sequence.prompt_tokens

    def progressed(self, sequence: Sequence, at_s: float) -> None:
        if sequence.ended:
            self.ended[sequence.call] = at_s


class BatchTest(unittest.TestCase):
    def _ends(self, chunk_tokens: int, *, polls: int) -> dict[str, float]:
        settings = EXACT.model_copy(
            update={"chunk_tokens": chunk_tokens, "step_context_token_ms": 0.01}
        )
        owner = _Steps()
        batch = Batch(settings, owner)
        for index in range(5):
            now = 0.37 * index
            for poll in range(polls):
                batch.advance(now - 0.37 + 0.37 * poll / polls)
            batch.add(Sequence(f"{index}", 900 + 300 * index, 40, 2000, now), now)
        while batch.next_event_s < 1e9:
            batch.advance(batch.next_event_s)
        return owner.ended

    def test_grouping_steps_changes_no_time(self) -> None:
        singly = self._ends(1, polls=50)
        grouped = self._ends(1000, polls=0)
        self.assertEqual(set(singly), set(grouped))
        for call, ended_s in singly.items():
            self.assertAlmostEqual(ended_s, grouped[call], places=6)

    def test_a_lone_sequence_takes_the_time_of_its_steps(self) -> None:
        settings = EXACT
        owner = _Steps()
        batch = Batch(settings, owner)
        batch.add(Sequence("a", 100, 3, 200, 0.0), 0.0)
        batch.advance(10.0)
        prefill_ms = settings.step_base_ms + 100 * settings.prefill_token_ms
        step_ms = settings.step_base_ms + settings.step_sequence_ms
        context_ms = settings.step_context_token_ms * (101 + 102)
        expected_s = (prefill_ms + 2 * step_ms + context_ms) / 1000
        self.assertAlmostEqual(owner.ended["a"], expected_s, places=9)

    def test_removing_a_sequence_gives_its_memory_back(self) -> None:
        batch = Batch(EXACT, _Steps())
        sequences = [Sequence(f"{index}", 2000, 100, 3000, 0.0) for index in range(3)]
        for sequence in sequences:
            batch.add(sequence, 0.0)
        batch.remove(sequences[2], 0.01)
        batch.remove(sequences[0], 0.3)
        self.assertEqual(batch.reserved_tokens, 3000)
        batch.advance(100.0)
        self.assertEqual((batch.reserved_tokens, batch.running, batch._context), (0, 0, 0))


class CacheTest(unittest.TestCase):
    def test_the_next_turn_finds_its_prefix(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            text, _, _ = await collect(engine, ask("p/1/1", "[tokens=500] [output=50]"))
            call = ask("p/2/1", "[tokens=500] [output=50]", "x", "more")
            messages = (call.messages[0], Message("assistant", text), call.messages[2])
            _, chunks, _ = await collect(engine, call._replace(messages=messages))
            self.assertEqual((chunks[0].cached_tokens, chunks[0].prompt_tokens), (550, 551))

        run_trial(body)

    def test_least_recently_used_programs_are_evicted_and_recomputation_counted(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            prompt = "[tokens=800] [output=50]"
            for program in "abc":
                await collect(engine, ask(f"{program}/1/1", prompt, max_tokens=100))
            held = trial.engine.cache.by_program()
            self.assertEqual(held, {"a": 250, "b": 850, "c": 850})
            await collect(engine, ask("a/2/1", prompt, max_tokens=100))
            self.assertEqual(trial.endpoints.engine_ledger.recomputed_tokens, 550)

        run_trial(body, settings=EXACT.model_copy(update={"kv_tokens": 2000}))

    def test_lost_events_leave_a_gap_in_the_sequence(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            for number in range(1, 21):
                await collect(engine, ask(f"p{number}/1/1", "[output=1]"))
            await anyio.sleep(10)
            page = (await engine.cache_events(after=0)).ok_value
            sequences = [event.sequence for event in page.events]
            self.assertLess(len(sequences), 20)
            self.assertEqual(sequences, sorted(set(sequences)))
            whole = (await engine.cache_contents()).ok_value
            self.assertTrue(whole.complete)
            self.assertEqual(len(whole.events), 20)

        run_trial(body, settings=EXACT.model_copy(update={"event_loss": 0.3}))

    def test_events_come_late(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            await collect(engine, ask("p/1/1", "[output=1]"))
            early = (await engine.cache_events(after=0)).ok_value
            await anyio.sleep(100)
            late = (await engine.cache_events(after=0)).ok_value
            self.assertEqual((len(early.events), len(late.events)), (0, 1))

        run_trial(body, settings=EXACT.model_copy(update={"event_delay_s": 100.0}))

    def test_a_restart_shows_in_the_sequence(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            for program in "abc":
                await collect(engine, ask(f"{program}/1/1", "[output=1]"))
            before = (await engine.cache_events(after=0)).ok_value
            trial.engine.crash()
            trial.engine.restart()
            after = (await engine.cache_events(after=before.next_sequence - 1)).ok_value
            self.assertEqual((before.next_sequence, after.next_sequence), (4, 1))

        run_trial(body)

    def test_release_frees_a_program_once(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            await collect(engine, ask("p/1/1", "[tokens=100] [output=10]"))
            self.assertEqual(await engine.release("p"), Ok(110))
            self.assertEqual(await engine.release("p"), Ok(0))
            self.assertEqual(trial.engine.load_now().kv_used_tokens, 0)

        run_trial(body)

    def test_a_lost_release_frees_nothing_and_says_so(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            await collect(engine, ask("p/1/1"))
            lost = await engine.release("p")
            self.assertEqual(lost.err_value.kind, BackendErrorKind.LOST)
            self.assertIn("p", trial.engine.cache.by_program())

        run_trial(body, settings=EXACT.model_copy(update={"release_loss": 0.999999}))

    def test_an_exported_cache_is_found_after_import_and_its_way_is_billed(self) -> None:
        async def body(trial: Trial) -> None:
            other = trial.endpoints.add_engine("other", "10.0.1.9:1", EXACT)
            trial.network.place("10.0.1.9", "r2", "d2")
            engine = trial.engine_from()
            await collect(engine, ask("p/1/1", "[tokens=1000] [output=10]"))
            block = (await engine.export_kv("p")).ok_value
            other_view = trial.endpoints.backends(NODE)
            target = other_view.engine("o", endpoint(EndpointKind.ENGINE, "10.0.1.9:1"))
            started = anyio.current_time()
            self.assertEqual(await target.import_kv("p", block), Ok(1010))
            expected_s = 1010 * EXACT.kv_token_bytes / EXACT.kv_between_regions_bytes_per_s
            self.assertAlmostEqual(anyio.current_time() - started, expected_s, delta=0.1)
            self.assertEqual(other.cache.by_program(), {"p": 1010})
            billed = trial.endpoints.bytes_between_regions
            self.assertEqual(billed, 1010 * EXACT.kv_token_bytes)
            wrong = await target.import_kv("q", block)
            self.assertEqual(wrong.err_value.kind, BackendErrorKind.REFUSED)

        run_trial(body)


class StreamTest(unittest.TestCase):
    def test_a_silent_stream_is_resumed_on_a_fresh_connection(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            got = []
            async with engine.generate(ask("p/1/1", "[output=400]")) as stream:
                async for item in stream:
                    got.append(item.ok_value)
                    if len(got) == 3:
                        trial.endpoints.silence(NODE, "10.0.1.1:9000")
            text = "".join(chunk.text for chunk in got)
            whole = answer_to([Message("user", "[output=400]")], 2000).text(0, 400)
            self.assertEqual(text, whole)
            self.assertEqual(trial.endpoints.engine_ledger.calls, 1)

        run_trial(body)

    def test_a_kept_connection_that_went_silent_is_replaced(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            await collect(engine, ask("p/1/1"))
            trial.endpoints.silence(NODE, "10.0.1.1:9000")
            started = anyio.current_time()
            text, _, error = await collect(engine, ask("p/2/1"))
            self.assertEqual((len(text), error), (500, None))
            self.assertGreater(anyio.current_time() - started, 3)

        run_trial(body)

    def test_leaving_the_stream_cancels_the_call(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            async with engine.generate(ask("p/1/1", "[output=1000]")) as stream:
                await stream.__anext__()
            self.assertEqual(trial.engine.load_now().running, 0)
            self.assertEqual(trial.endpoints.engine_ledger.cancelled, 1)

        run_trial(body)

    def test_a_crash_ends_the_stream_as_lost_and_refuses_connections(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_crash_later, trial, 0.5)
                _, _, error = await collect(engine, ask("p/1/1", "[output=1000]"))
            self.assertEqual(error.kind, BackendErrorKind.LOST)
            _, _, error = await collect(engine, ask("p/1/2"))
            self.assertEqual(error.kind, BackendErrorKind.NOT_SENT)
            trial.engine.restart()
            text, _, error = await collect(engine, ask("p/1/3"))
            self.assertIsNone(error)
            self.assertEqual(len(text), 500)

        run_trial(body)

    def test_a_hung_engine_is_lost_after_the_progress_deadline(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            trial.engine.hang()
            started = anyio.current_time()
            _, _, error = await collect(engine, ask())
            self.assertEqual(error.kind, BackendErrorKind.LOST)
            self.assertAlmostEqual(anyio.current_time() - started, 5.0, delta=0.1)
            trial.engine.unhang()
            self.assertIsNone((await collect(engine, ask("p/1/2")))[2])

        run_trial(body)

    def test_nothing_is_sent_across_a_cut(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            trial.network.cut(NODE, "10.0.1.1")
            _, _, error = await collect(engine, ask())
            self.assertEqual(error.kind, BackendErrorKind.NOT_SENT)
            self.assertEqual(trial.endpoints.engine_ledger.calls, 0)

        run_trial(body)

    def test_a_frozen_node_sends_after_it_thaws(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            trial.network.freeze(NODE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(collect, engine, ask())
                await anyio.sleep(5)
                self.assertEqual(trial.endpoints.engine_ledger.calls, 0)
                trial.network.thaw(NODE)
            self.assertEqual(trial.endpoints.engine_ledger.finished, 1)

        run_trial(body)

    def test_a_killed_nodes_call_ends_after_the_resume_window(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(collect, engine, ask("p/1/1", "[output=1900]"))
                await anyio.sleep(1)
                trial.network.kill(NODE)
                tasks.cancel_scope.cancel()
            await anyio.sleep(trial.engine.settings.resume_window_s - 1)
            self.assertEqual(trial.engine.load_now().running, 1)
            await anyio.sleep(2)
            self.assertEqual(trial.engine.load_now().running, 0)

        run_trial(body, settings=EXACT.model_copy(update={"step_base_ms": 100.0}))

    def test_a_slow_engine_takes_longer(self) -> None:
        async def body(trial: Trial) -> float:
            started = anyio.current_time()
            await collect(trial.engine_from(), ask())
            middle = anyio.current_time()
            trial.engine.slow(4.0)
            await collect(trial.engine_from(), ask("q/1/1"))
            return (anyio.current_time() - middle) / (middle - started)

        self.assertAlmostEqual(run_trial(body), 4.0, delta=0.1)

    def test_a_prompt_larger_than_memory_is_refused(self) -> None:
        async def body(trial: Trial) -> None:
            _, _, error = await collect(trial.engine_from(), ask("p/1/1", "[tokens=2000000]"))
            self.assertEqual(error.kind, BackendErrorKind.REFUSED)

        run_trial(body)

    def test_calls_wait_when_memory_is_full(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    call = ask(f"p{number}/1/1", "[tokens=500]", max_tokens=400)
                    tasks.start_soon(collect, engine, call)
                await anyio.sleep(0.1)
                load = trial.engine.load_now()
            self.assertEqual((load.running, load.waiting), (2, 2))
            self.assertEqual(trial.endpoints.engine_ledger.finished, 4)

        run_trial(body, settings=EXACT.model_copy(update={"kv_tokens": 2000}))


class ReportTest(unittest.TestCase):
    def test_the_load_report_lags(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            await anyio.sleep(20)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(collect, engine, ask("p/1/1", "[output=1900]"))
                await anyio.sleep(0.1)
                self.assertEqual(trial.engine.load_now().running, 1)
                self.assertEqual((await engine.load()).ok_value.running, 0)
                await anyio.sleep(4)
                report = (await engine.load()).ok_value
            self.assertEqual(report.running, 1)
            self.assertGreaterEqual(report.age_s, 2.0)

        run_trial(body, settings=EXACT.model_copy(update={"report_lag_s": 2.0}))


class OrderTest(unittest.TestCase):
    def _two_orders(self, *, checks_fence: bool) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            await engine.order(Order(OrderKind.CHANGE_ROLE, "prefill", 5))
            old = await engine.order(Order(OrderKind.CHANGE_ROLE, "decode", 4))
            ledger = trial.endpoints.engine_ledger
            if checks_fence:
                self.assertEqual(old.err_value.kind, BackendErrorKind.STALE_FENCE)
                self.assertEqual((trial.engine.role, ledger.stale_orders_run), ("prefill", 0))
            else:
                self.assertEqual(old, Ok(None))
                self.assertEqual((trial.engine.role, ledger.stale_orders_run), ("decode", 1))

        run_trial(body, settings=EXACT.model_copy(update={"checks_fence": checks_fence}))

    def test_an_engine_that_checks_refuses_an_old_fence(self) -> None:
        self._two_orders(checks_fence=True)

    def test_an_engine_that_does_not_check_carries_it_out(self) -> None:
        self._two_orders(checks_fence=False)

    def test_the_weight_store_refuses_loads_over_its_rate(self) -> None:
        async def body(trial: Trial) -> None:
            engine = trial.engine_from()
            outcomes = []

            async def load(name: str) -> None:
                outcomes.append(await engine.order(Order(OrderKind.LOAD_MODEL, name, 1)))

            async with anyio.create_task_group() as tasks:
                for name in ("a", "b", "c"):
                    tasks.start_soon(load, name)
            refused = [outcome for outcome in outcomes if isinstance(outcome, Err)]
            self.assertEqual(len(refused), 1)
            self.assertGreater(refused[0].err_value.retry_after_s, 50)
            self.assertEqual(trial.endpoints.weights.loads, 2)

        run_trial(body)

    def test_calls_after_leaving_are_noted(self) -> None:
        async def body(trial: Trial) -> None:
            trial.engine.leave()
            await anyio.sleep(4)
            await collect(trial.engine_from(OTHER_NODE), ask())
            self.assertGreater(trial.endpoints.engine_ledger.latest_after_leaving_s, 4)

        run_trial(body)


async def _crash_later(trial: Trial, after_s: float) -> None:
    await anyio.sleep(after_s)
    trial.engine.crash()


if __name__ == "__main__":
    unittest.main()
