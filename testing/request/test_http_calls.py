"""Calls over HTTP: chat completions, tool calls, resumed answers."""

from __future__ import annotations

import json
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from structlog.testing import capture_logs

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.promises import Promise
from bramleylead.request import AnswerChunk
from bramleylead.request import AnswerStart
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ResumeCall
from bramleylead.standins import run_virtual
from testing.request.fakes import OTHER_KEY
from testing.request.fakes import Caller
from testing.request.fakes import FakeNode
from testing.request.fakes import Response
from testing.request.fakes import answer
from testing.request.fakes import answer_end

CHAT = {"model": "tutor", "messages": [{"role": "user", "content": "hi"}]}
STREAMED = {**CHAT, "stream": True}
IN_PROGRAM = {"Bramleylead_Program": "p-1", "Bramleylead_Call": "2"}


def run(action: Callable[[], Awaitable[Response]]) -> Response:
    return run_virtual(action, seed=1)


def chat(node: FakeNode, body: Any = None, *, caller: Caller | None = None, **headers: str) -> Any:
    client = caller or Caller(node)
    return run(lambda: client.post("/v1/chat/completions", body or CHAT, **headers))


class ChatTest(unittest.TestCase):
    def test_an_ordinary_client_gets_a_one_call_program(self) -> None:
        node = FakeNode()
        response = chat(node)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.json["choices"][0]["message"]["content"], "hello there")
        self.assertEqual(response.json["usage"]["total_tokens"], 12)
        kinds = [type(item) for item in node.requests]
        self.assertEqual(kinds, [OpenProgram, CallRequest, EndProgram])
        self.assertEqual(node.requests[0].kind, "tutoring")
        self.assertEqual(node.requests[1].number, 1)

    def test_a_retry_with_the_same_key_uses_the_same_one_call_program(self) -> None:
        node = FakeNode()
        chat(node, Idempotency_Key="k1")
        chat(node, Idempotency_Key="k1")
        chat(node, Idempotency_Key="k2")
        first, retried, other = [
            item.program for item in node.requests if isinstance(item, OpenProgram)
        ]
        self.assertEqual(first, retried)
        self.assertNotEqual(first, other)

    def test_headers_identify_the_call_and_its_program(self) -> None:
        node = FakeNode(answer("yes", number=2))
        response = chat(
            node,
            Bramleylead_Incarnation="3",
            Bramleylead_History="append",
            Bramleylead_Deadline_S="7.5",
            Idempotency_Key="k",
            **IN_PROGRAM,
        )
        (call,) = node.requests
        self.assertEqual((call.branch, call.program, call.number), ("prairie", "p-1", 2))
        self.assertEqual((call.incarnation, call.key, call.deadline_s), (3, "k", 7.5))
        self.assertFalse(call.whole_history)
        self.assertEqual(call.call_kind, CallKind.MODEL)
        self.assertEqual(response.headers["bramleylead-call"], "2")
        self.assertEqual(response.headers["bramleylead-incarnation"], "3")
        self.assertEqual(response.headers["bramleylead-ran"], "ran")
        self.assertEqual(response.headers["bramleylead-error-kind"], "none")
        self.assertTrue(response.json["bramleylead"]["durable"])

    def test_a_first_call_that_names_its_kind_opens_the_program(self) -> None:
        node = FakeNode()
        chat(node, Bramleylead_Program="p-1", Bramleylead_Kind="exam")
        self.assertEqual(node.requests[0], OpenProgram("prairie", "p-1", "exam"))

    def test_a_later_call_opens_no_program(self) -> None:
        node = FakeNode(answer("yes", number=2))
        chat(node, Bramleylead_Kind="exam", **IN_PROGRAM)
        self.assertEqual([type(item) for item in node.requests], [CallRequest])

    def test_a_model_in_two_kinds_requires_the_kind(self) -> None:
        node = FakeNode()
        response = chat(node, caller=Caller(node, key=OTHER_KEY))
        self.assertEqual(response.status, 400)
        self.assertIn("tutoring, exam", response.error["detail"])
        self.assertEqual(node.requests, [])

    def test_a_refusal_has_its_own_status_and_says_not_run(self) -> None:
        node = FakeNode([Failure(ErrorKind.OVERLOADED, "queue full", 1.5)])
        for body in (CHAT, STREAMED):
            response = chat(node, body, **IN_PROGRAM)
            self.assertEqual(response.status, 503)
            self.assertEqual(response.error["error_kind"], "overloaded")
            self.assertEqual(response.error["ran"], "not run")
            self.assertEqual(response.error["retry_after_s"], 1.5)
            self.assertEqual(response.error["program"], "p-1")
            self.assertEqual(response.error["call"], 2)
            self.assertEqual(response.headers["retry-after"], "2")

    def test_an_unexpected_error_leaves_the_outcome_unknown(self) -> None:
        node = FakeNode([ValueError("a fault of ours")])
        with capture_logs() as logs:
            response = chat(node, **IN_PROGRAM)
        self.assertEqual([line["event"] for line in logs], ["answer_failed"])
        self.assertEqual((response.status, response.error["ran"]), (500, "unknown"))
        self.assertNotIn("a fault of ours", response.body.decode())


class StreamTest(unittest.TestCase):
    def test_chunks_are_sent_as_events_and_end_with_done(self) -> None:
        response = chat(FakeNode(), STREAMED, **IN_PROGRAM)
        data = [json.loads(text) for _, text in response.events[:-1]]
        text = "".join(item["choices"][0]["delta"].get("content", "") for item in data)
        self.assertEqual(text, "hello there")
        self.assertEqual([item["bramleylead"].get("offset") for item in data], [0, 5, None])
        self.assertEqual(data[-1]["choices"][0]["finish_reason"], "stop")
        self.assertEqual(data[-1]["bramleylead"]["ran"], "ran")
        self.assertEqual(response.events[-1], ("message", "[DONE]"))

    def test_a_failure_after_text_is_an_error_event_without_done(self) -> None:
        script = [AnswerChunk(0, "hel", 1), Failure(ErrorKind.ENDPOINT_FAILED, "engine died")]
        response = chat(FakeNode(script), STREAMED, **IN_PROGRAM)
        name, data = response.events[-1]
        error = json.loads(data)["error"]
        self.assertEqual((response.status, name), (200, "error"))
        self.assertEqual((error["ran"], error["offset"], error["status"]), ("ran", 3, 502))
        self.assertNotIn("[DONE]", response.body.decode())

    def test_a_long_wait_sends_comments_and_a_late_refusal_as_an_event(self) -> None:
        script = [25.0, Failure(ErrorKind.OVERLOADED, "queue full")]
        response = chat(FakeNode(script), STREAMED, **IN_PROGRAM)
        names = [name for name, _ in response.events]
        self.assertEqual(names, ["", "", "error"])
        self.assertEqual(response.headers["bramleylead-ran"], "unknown")

    def test_a_refusal_is_sent_without_delay(self) -> None:
        node = FakeNode([3.0, Failure(ErrorKind.OVERLOADED, "queue full")])
        caller = Caller(node)
        chat(node, STREAMED, caller=caller, **IN_PROGRAM)
        self.assertAlmostEqual(caller.first_byte_s, 3.0)

    def test_a_failure_after_text_never_says_not_run(self) -> None:
        node = FakeNode([AnswerChunk(0, "hel", 1), Failure(ErrorKind.OVERLOADED, "queue full")])
        response = chat(node, STREAMED, **IN_PROGRAM)
        self.assertEqual(json.loads(response.events[-1][1])["error"]["ran"], "ran")
        self.assertEqual(node.promises.violations[0].promise, Promise.NOT_RUN)

    def test_losing_the_owner_after_text_leaves_the_outcome_unknown(self) -> None:
        node = FakeNode([AnswerChunk(0, "hel", 1), Failure(ErrorKind.OWNER_LOST, "lost")])
        response = chat(node, STREAMED, **IN_PROGRAM)
        self.assertEqual(json.loads(response.events[-1][1])["error"]["ran"], "unknown")
        self.assertEqual(node.promises.violations, [])

    def test_first_token_and_tokens_are_counted(self) -> None:
        node = FakeNode([0.2, *answer("hello", number=2)])
        chat(node, STREAMED, **IN_PROGRAM)
        self.assertEqual(node.metrics.tokens.get({"kind": "cached"}), 4)
        page = node.metrics.render()[0].decode()
        self.assertIn('first_token_seconds_bucket{le="0.1"} 0', page)
        self.assertIn('first_token_seconds_bucket{le="0.25"} 1', page)

    def test_repeated_text_is_sent_once(self) -> None:
        script = [AnswerChunk(0, "hel", 1), AnswerChunk(1, "ello", 1), answer_end("hello")]
        response = chat(FakeNode(script), **IN_PROGRAM)
        self.assertEqual(response.json["choices"][0]["message"]["content"], "hello")

    def test_an_answer_with_missing_text_is_a_failure(self) -> None:
        for script in (
            [AnswerChunk(0, "hel", 1), AnswerChunk(4, "o", 1), answer_end("hello")],
            [AnswerChunk(0, "hel", 1), answer_end("hello")],
            [AnswerChunk(0, "hel", 1)],
        ):
            node = FakeNode(script)
            response = chat(node, **IN_PROGRAM)
            self.assertEqual((response.status, response.error["ran"]), (500, "unknown"))

    def test_a_missed_deadline_leaves_the_outcome_unknown(self) -> None:
        response = chat(FakeNode([500.0]), Bramleylead_Deadline_S="5", **IN_PROGRAM)
        self.assertEqual((response.status, response.error["error_kind"]), (504, "outcome_unknown"))

    def test_a_disconnect_stops_the_relay_but_not_the_program(self) -> None:
        node = FakeNode([AnswerChunk(0, "hel", 1), 50.0, answer_end("hel")])
        chat(node, STREAMED, caller=Caller(node, disconnect_after_s=2.0), **IN_PROGRAM)
        self.assertTrue(node.call_cancelled.is_set())
        self.assertEqual([type(item) for item in node.requests], [CallRequest])
        self.assertEqual(node.metrics.callers_gone.get({}), 1)

    def test_a_one_call_program_ends_when_its_caller_disconnects(self) -> None:
        node = FakeNode([50.0])
        chat(node, caller=Caller(node, disconnect_after_s=2.0))
        self.assertIsInstance(node.requests[-1], EndProgram)

    def test_a_one_call_program_with_a_key_stays_open_only_if_a_retry_could_succeed(self) -> None:
        for kind, last in (
            (ErrorKind.OVERLOADED, CallRequest),
            (ErrorKind.OWNER_LOST, CallRequest),
            (ErrorKind.BUDGET_EXHAUSTED, EndProgram),
        ):
            node = FakeNode([Failure(kind, "refused")])
            chat(node, Idempotency_Key="k")
            self.assertIsInstance(node.requests[-1], last)

    def test_a_one_call_program_with_a_key_stays_open_after_a_disconnect(self) -> None:
        node = FakeNode([50.0])
        chat(node, caller=Caller(node, disconnect_after_s=2.0), Idempotency_Key="k")
        self.assertIsInstance(node.requests[-1], CallRequest)


class ToolTest(unittest.TestCase):
    def test_a_tool_call_returns_its_value(self) -> None:
        node = FakeNode([AnswerStart(4, 3), answer_end("", number=4, value={"id": "c-9"})])
        response = run(
            lambda: Caller(node).post(
                "/v1/programs/p-1/tools/issue", {"candidate": "ann"}, Idempotency_Key="k"
            )
        )
        self.assertEqual(response.json["value"], {"id": "c-9"})
        self.assertEqual(response.json["bramleylead"]["call"], 4)
        (call,) = node.requests
        self.assertEqual((call.call_kind, call.target), (CallKind.TOOL, "issue"))
        self.assertEqual((call.arguments, call.key), ({"candidate": "ann"}, "k"))

    def test_a_numbered_tool_call_needs_no_program_header(self) -> None:
        """The call was refused, because the program was read only from the header, not the path."""
        node = FakeNode()
        caller = Caller(node)
        path = "/v1/programs/p-1/tools/issue"
        response = run(lambda: caller.post(path, {}, Bramleylead_Call="2"))
        self.assertEqual(response.status, 200)
        self.assertEqual((node.requests[0].program, node.requests[0].number), ("p-1", 2))

    def test_an_unknown_outcome_is_reported(self) -> None:
        node = FakeNode([Failure(ErrorKind.OUTCOME_UNKNOWN, "the reply was lost")])
        response = run(lambda: Caller(node).post("/v1/programs/p-1/tools/issue", {}))
        self.assertEqual((response.status, response.headers["bramleylead-ran"]), (504, "unknown"))


class ResumeTest(unittest.TestCase):
    def test_an_answer_resumes_at_its_offset(self) -> None:
        node = FakeNode([AnswerChunk(6, "there", 1), answer_end("hello there")])
        response = run(lambda: Caller(node).get("/v1/programs/p-1/calls/1/answer?offset=6"))
        self.assertEqual(node.requests, [ResumeCall("prairie", "p-1", 1, 6, 60.0)])
        first = json.loads(response.events[0][1])
        self.assertEqual(first["choices"][0]["delta"]["content"], "there")
        self.assertEqual(first["bramleylead"]["offset"], 6)
        self.assertEqual(response.events[-1], ("message", "[DONE]"))

    def test_a_bad_offset_is_refused(self) -> None:
        response = run(lambda: Caller(FakeNode()).get("/v1/programs/p-1/calls/1/answer?offset=-1"))
        self.assertEqual((response.status, response.error["error_kind"]), (400, "malformed"))

    def test_an_offset_beyond_the_answer_is_malformed(self) -> None:
        node = FakeNode([answer_end("hello")])
        response = run(lambda: Caller(node).get("/v1/programs/p-1/calls/1/answer?offset=99"))
        self.assertEqual((response.status, response.error["error_kind"]), (400, "malformed"))
        self.assertEqual(node.promises.violations, [])


if __name__ == "__main__":
    unittest.main()
