"""Tests of calls at the program's owner: order, retries, failures and reported outcomes."""

from __future__ import annotations

import unittest
from typing import Any

import anyio

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind
from bramleylead.backends import EngineChunk
from bramleylead.errors import ErrorKind
from bramleylead.errors import Ran
from bramleylead.process.journal._entries import RolledBack
from bramleylead.process.journal._state import CallStatus
from bramleylead.promises import Promise
from bramleylead.request import AnswerEnd
from bramleylead.request import EndProgram
from bramleylead.request import ReadProgram
from bramleylead.request import ResumeCall
from testing.process.support import Bench
from testing.process.support import run_with_owner

LOST = BackendError(BackendErrorKind.LOST, "the connection broke")
NOT_SENT = BackendError(BackendErrorKind.NOT_SENT, "can't connect")


class OrderTest(unittest.TestCase):
    def test_calls_run_in_order_and_extend_history(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            first = await bench.call(number=1)
            second = await bench.call(number=2, messages=(("user", "More"),))
            view = await bench.owner.read(ReadProgram("school", "p1", history=True))
            return first, second, view.ok_value.messages, bench.backends.generated[1].messages

        first, second, messages, prompt = run_with_owner(body)
        self.assertEqual((first.number, second.number), (1, 2))
        self.assertEqual([role for role, _ in messages], ["user", "assistant"] * 2)
        self.assertEqual([item.content for item in prompt], ["Hi", "Hello there", "More"])

    def test_out_of_order_call_is_rejected_and_not_run(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            return await bench.call(number=2), bench.backends.generated

        end, generated = run_with_owner(body)
        self.assertEqual((end.kind, end.answer.ran), (ErrorKind.OUT_OF_ORDER, Ran.NOT_RUN))
        self.assertEqual(generated, [])

    def test_concurrent_identical_calls_share_one_run(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            ends: list[Any] = []

            async def call() -> None:
                ends.append(await bench.call(number=1))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                tasks.start_soon(call)
            return ends, bench.backends.generated

        ends, generated = run_with_owner(body)
        self.assertEqual(ends[0], ends[1])
        self.assertEqual(len(generated), 1)

    def test_different_request_under_used_number_is_rejected(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            await bench.call(number=1)
            return await bench.call(number=1, messages=(("user", "Other"),))

        self.assertEqual(run_with_owner(body).kind, ErrorKind.DUPLICATE_MISMATCH)

    def test_retry_with_same_key_gets_recorded_answer(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            first = await bench.items(key="k1")
            again = await bench.items(key="k1")
            return first, again, bench.backends.generated

        first, again, generated = run_with_owner(body)
        self.assertEqual(first[-1], again[-1])
        self.assertEqual("".join(item.text for item in again[1:-1]), "Hello there")
        self.assertEqual(len(generated), 1)

    def test_other_branch_has_no_access_to_program(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            return await bench.call(branch="stable")

        self.assertEqual(run_with_owner(body).kind, ErrorKind.FORBIDDEN)

    def test_whole_history_must_begin_with_recorded_history(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            await bench.call()
            history = (("user", "Hi"), ("assistant", "Hello there"))
            accepted = await bench.call(whole_history=True, messages=(*history, ("user", "x")))
            rejected = await bench.call(whole_history=True, messages=(("user", "x"),))
            return accepted, rejected

        accepted, rejected = run_with_owner(body)
        self.assertIsInstance(accepted, AnswerEnd)
        self.assertEqual(rejected.kind, ErrorKind.MALFORMED)

    def test_resume_returns_answer_from_offset(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            await bench.call()
            request = ResumeCall("school", "p1", 1, 6, 5.0)
            return [item async for item in bench.owner.resume(request)]

        _, chunk, end = run_with_owner(body)
        self.assertEqual((chunk.offset, chunk.text, end.length), (6, "there", 11))


class AtMostOnceTest(unittest.TestCase):
    def test_call_with_lost_reply_has_unknown_outcome_and_is_not_sent_again(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.service_script = [LOST]
            first = await bench.tool("issue", number=1)
            again = await bench.tool("issue", number=1)
            return first, again, bench.backends.invoked

        first, again, invoked = run_with_owner(body)
        for end in (first, again):
            self.assertEqual((end.kind, end.answer.ran), (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN))
        self.assertEqual(len(invoked), 1)

    def test_call_that_was_not_sent_can_be_retried(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.service_script = [NOT_SENT] * 3
            first = await bench.tool("issue", number=1)
            again = await bench.tool("issue", number=1)
            return first, again, bench.directory.only.state.grants["fees"]

        first, again, grant = run_with_owner(body)
        self.assertEqual(first.answer.ran, Ran.NOT_RUN)
        self.assertEqual(again.value, {"done": True})
        self.assertEqual((grant.reserved, grant.spent), (0, 10))

    def test_owner_without_valid_lease_does_not_send(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.directory.only.act = False
            return await bench.tool("issue"), bench.backends.invoked

        end, invoked = run_with_owner(body)
        self.assertEqual(end.answer.ran, Ran.NOT_RUN)
        self.assertEqual(invoked, [])

    def test_paused_previous_owner_sends_no_model_call(self) -> None:
        """Regression: a paused owner's late model call reached the engine after the next call."""

        async def body(bench: Bench) -> Any:
            await bench.open()
            log = bench.directory.only
            append = log.append

            async def fail_barrier(*entries: Any) -> Any:
                log.fail = not entries
                return await append(*entries)

            log.append, log.act = fail_barrier, False
            return await bench.call(), bench.backends.generated

        end, generated = run_with_owner(body)
        self.assertEqual(end.answer.ran, Ran.NOT_RUN)
        self.assertEqual(generated, [])

    def test_repeatable_tool_call_is_retried(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.service_script = [LOST]
            return await bench.tool("look_up"), bench.backends.invoked

        end, invoked = run_with_owner(body)
        self.assertIsInstance(end, AnswerEnd)
        self.assertEqual(len(invoked), 2)

    def test_second_send_of_non_repeatable_call_is_detected(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            original = type(bench.owner)._prepare

            def prepare_as_sent(*arguments: Any) -> Any:
                call = original(bench.owner, *arguments)
                call.sent = True
                return call

            bench.owner._prepare = prepare_as_sent
            await bench.tool("issue")

        with self.assertRaises(BaseExceptionGroup) as raised:
            run_with_owner(body)
        self.assertIn(Promise.AT_MOST_ONCE.value, str(raised.exception.exceptions[0]))

    def test_call_with_old_incarnation_is_not_run(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            await bench.call(incarnation=1)
            await bench.directory.only.append(RolledBack(2))
            model = await bench.call(number=2, incarnation=1)
            tool = await bench.tool("issue", number=2, incarnation=1)
            new = await bench.tool("issue", number=2, incarnation=2)
            return model, tool, new

        model, tool, new = run_with_owner(body)
        self.assertEqual(model.kind, ErrorKind.HISTORY_ROLLED_BACK)
        self.assertEqual(tool.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertIsInstance(new, AnswerEnd)

    def test_interrupted_call_gets_unknown_outcome_after_takeover(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.service_script = [30.0]
            with anyio.move_on_after(1):
                await bench.tool("issue", number=1)
            log = bench.directory.only
            bench.owner._running.clear()
            await bench.owner.finish_interrupted_calls(log)
            return await bench.tool("issue", number=1), log.state.programs["p1"].calls[1].status

        end, status = run_with_owner(body)
        self.assertEqual(end.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(status, CallStatus.UNKNOWN)


class InterruptedTest(unittest.TestCase):
    """Retries of calls interrupted by a takeover, before the new owner has finished the calls."""

    async def _interrupt(self, bench: Bench) -> Any:
        await bench.open()
        bench.backends.service_script = [30.0]
        with anyio.move_on_after(1):
            await bench.tool("issue", number=1)
        bench.owner._running.clear()
        return bench.directory.only

    def test_retry_finishes_call_and_frees_next_number(self) -> None:
        """Regression: after an "unknown" outcome, the next call was rejected as a mismatch."""

        async def body(bench: Bench) -> Any:
            await self._interrupt(bench)
            retried = await bench.tool("issue", number=1)
            view = await bench.owner.read(ReadProgram("school", "p1", history=False))
            number = view.ok_value.next_number
            return retried, number, await bench.tool("look_up", number=number)

        retried, number, following = run_with_owner(body)
        self.assertEqual((retried.kind, number), (ErrorKind.OUTCOME_UNKNOWN, 2))
        self.assertIsInstance(following, AnswerEnd)

    def test_call_finished_by_retry_and_takeover_is_charged_once(self) -> None:
        async def body(bench: Bench) -> Any:
            log = await self._interrupt(bench)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(bench.owner.finish_interrupted_calls, log)
                await bench.tool("issue", number=1)
            return log.state.grants["fees"]

        grant = run_with_owner(body)
        self.assertEqual((grant.reserved, grant.spent), (0, 10))

    def test_resuming_interrupted_model_call_returns_retryable_error(self) -> None:
        """Regression: the call was answered as if it could never run again."""

        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.engine_script = [[EngineChunk("Hel", 1, 0, 7), 1000.0]]
            with anyio.move_on_after(1):
                await bench.call(number=1)
            bench.owner._running.clear()
            request = ResumeCall("school", "p1", 1, 0, 5.0)
            return [item async for item in bench.owner.resume(request)][-1]

        self.assertEqual(run_with_owner(body).kind, ErrorKind.OWNER_LOST)


class EngineMemoryTest(unittest.TestCase):
    """Regression: caches of unsuccessful calls were only released minutes later by the sweep."""

    def _caches(self, script: list[Any], *, end: bool) -> dict[str, int]:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.engine_script = script
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(bench.call)
                await anyio.sleep(1)
                if end:
                    await bench.owner.end(EndProgram("school", "p1"))
                tasks.cancel_scope.cancel()
            await anyio.sleep(1)
            return bench.directory.only.state.programs["p1"].caches

        return run_with_owner(body)

    def test_cache_of_interrupted_call_is_recorded(self) -> None:
        caches = self._caches([[EngineChunk("Hel", 1, 0, 7), 1000.0]], end=False)
        self.assertEqual(caches, {"e1": 0})

    def test_cache_of_cancelled_call_is_recorded(self) -> None:
        caches = self._caches([[EngineChunk("Hel", 1, 0, 7), 5.0]], end=True)
        self.assertEqual(caches, {"e1": 0})

    def test_cache_of_failed_first_attempt_is_recorded(self) -> None:
        caches = self._caches([[EngineChunk("Hel", 1, 0, 7), LOST]], end=False)
        self.assertEqual(sorted(caches), ["e1", "e2"])

    def test_cache_of_interrupted_second_attempt_is_recorded(self) -> None:
        """Regression: only the first attempt's engine was journaled before its request was sent."""
        attempts = [[EngineChunk("Hel", 1, 0, 7), LOST], [EngineChunk("Hel", 1, 0, 7), 1000.0]]
        self.assertEqual(sorted(self._caches(attempts, end=False)), ["e1", "e2"])


class LostPairTest(unittest.TestCase):
    def test_retry_with_old_incarnation_joins_running_call(self) -> None:
        """Regression: the retry started a second run, and the history got the answer twice."""

        async def body(bench: Bench) -> Any:
            await bench.open()
            slow = [EngineChunk("Hello", 1, 0, 7), 5.0, EngineChunk(" there", 1, finish="stop")]
            bench.backends.engine_script = [slow]
            ends: list[Any] = []

            async def call() -> None:
                ends.append(await bench.call(number=1, incarnation=1))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.sleep(1)
                await bench.directory.only.append(RolledBack(2))
                tasks.start_soon(call)
            messages = bench.directory.only.state.programs["p1"].messages
            return ends, len(bench.backends.generated), len(messages)

        ends, generated, messages = run_with_owner(body)
        self.assertEqual(ends[0], ends[1])
        self.assertEqual((generated, messages), (1, 2))

    def test_program_lost_with_both_copies_is_reported_as_lost(self) -> None:
        """Regression: the caller of an opened program got the error for an unknown program."""

        async def body(bench: Bench) -> Any:
            await bench.open("other")
            log = bench.directory.only
            bench.directory.log = lambda partition: log
            await log.append(RolledBack(2))
            never_seen = await bench.call(program="p9")
            model = await bench.call(program="p9", incarnation=1)
            tool = await bench.tool("issue", program="p9", incarnation=1)
            return never_seen.kind, model.kind, tool.kind

        self.assertEqual(
            run_with_owner(body),
            (
                ErrorKind.UNKNOWN_PROGRAM,
                ErrorKind.HISTORY_ROLLED_BACK,
                ErrorKind.OUTCOME_UNKNOWN,
            ),
        )


class PreviousOwnerTest(unittest.TestCase):
    def test_previous_owner_does_not_answer_from_old_state(self) -> None:
        """Regression: a paused owner denied the existence of a program opened in the meantime."""

        async def body(bench: Bench) -> Any:
            await bench.open()
            log = bench.directory.only
            log.act, log.fail = False, True
            request = ReadProgram("school", "p1", history=False)
            unknown = request._replace(program="p2")
            bench.directory.log = lambda partition: log
            called = await bench.call(number=7)
            return called, await bench.owner.read(request), await bench.owner.read(unknown)

        called, read, unknown = run_with_owner(body)
        self.assertEqual(called.kind, ErrorKind.NOT_DURABLE)
        self.assertEqual(read.err_value.kind, ErrorKind.NOT_DURABLE)
        self.assertEqual(unknown.err_value.kind, ErrorKind.NOT_DURABLE)


class EngineFailureTest(unittest.TestCase):
    def test_failed_call_keeps_its_number_when_rerun_is_not_sent(self) -> None:
        """Regression: withdrawing the second run removed the call but did not free its number."""

        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.engine_script = [[LOST]] * 3 + [[NOT_SENT]] * 3
            first = await bench.call(number=1)
            second = await bench.call(number=1)
            return first, second, await bench.call(number=1)

        first, second, third = run_with_owner(body)
        self.assertEqual(first.answer.ran, Ran.RAN)
        self.assertNotEqual(second.answer.ran, Ran.NOT_RUN)
        self.assertIsInstance(third, AnswerEnd)

    def test_broken_stream_continues_on_another_engine(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.engine_script = [[EngineChunk("Hel", 1, 0, 7), LOST]]
            items = await bench.items()
            return "".join(item.text for item in items[1:-1]), items[-1]

        text, end = run_with_owner(body)
        self.assertEqual((text, end.endpoint), ("Hello there", "e2"))

    def test_different_text_after_failover_fails_the_call(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.engine_script = [[EngineChunk("Bye", 1, 0, 7), LOST]]
            return await bench.call()

        self.assertEqual(run_with_owner(body).kind, ErrorKind.ENDPOINT_FAILED)

    def test_stream_without_progress_times_out(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.engine_script = [[EngineChunk("Hel", 1, 0, 7), 1000.0]]
            end = await bench.call()
            return end, anyio.current_time()

        end, now = run_with_owner(body)
        self.assertIsInstance(end, AnswerEnd)
        self.assertLess(now, 20)

    def test_ending_program_cancels_its_model_call(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.backends.engine_script = [[EngineChunk("Hel", 1, 0, 7), 5.0]]
            ends: list[Any] = []

            async def call() -> None:
                ends.append(await bench.call())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await anyio.sleep(1)
                await bench.owner.end(EndProgram("school", "p1"))
            return ends[0], await bench.call()

        cancelled, after = run_with_owner(body)
        self.assertEqual(cancelled.kind, ErrorKind.CANCELLED)
        self.assertEqual(after.kind, ErrorKind.PROGRAM_ENDED)


class RefusalTest(unittest.TestCase):
    def test_call_can_be_retried_after_refused_slot(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.scheduler.refuse = True
            end = await bench.call()
            bench.scheduler.refuse = False
            return end, await bench.call(number=1)

        refused, after = run_with_owner(body)
        self.assertEqual((refused.answer.ran, refused.answer.retry_after_s), (Ran.NOT_RUN, 3.0))
        self.assertIsInstance(after, AnswerEnd)

    def test_number_of_turns_is_limited(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            return [await bench.call() for _ in range(6)]

        ends = run_with_owner(body)
        self.assertEqual(ends[5].kind, ErrorKind.LIMIT_REACHED)

    def test_call_fails_before_sending_without_second_copy(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            await bench.call()
            bench.directory.only.fail = True
            return await bench.tool("issue"), bench.backends.invoked

        end, invoked = run_with_owner(body)
        self.assertEqual((end.kind, end.answer.ran), (ErrorKind.NOT_DURABLE, Ran.NOT_RUN))
        self.assertEqual(invoked, [])

    def test_node_that_may_lack_a_ticket_starts_no_call(self) -> None:
        async def body(bench: Bench) -> Any:
            await bench.open()
            bench.tickets.current = False
            return await bench.call()

        self.assertEqual(run_with_owner(body).kind, ErrorKind.NOT_CURRENT)


if __name__ == "__main__":
    unittest.main()
