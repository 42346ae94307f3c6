"""Bad input over HTTP: each is answered by an error kind, and nothing reaches the node."""

from __future__ import annotations

import json
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bramleylead.errors import ANSWERS
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.request import CallRequest
from bramleylead.request._http_bodies import ChatBody
from bramleylead.standins import run_virtual
from bramleylead.validation import load_model
from testing.request.fakes import OPERATOR_KEY
from testing.request.fakes import SETTINGS
from testing.request.fakes import Caller
from testing.request.fakes import FakeNode
from testing.request.fakes import Response

CHAT_PATH = "/v1/chat/completions"
CHAT = {"model": "tutor", "messages": [{"role": "user", "content": "hi"}]}


def run(action: Callable[[], Awaitable[Response]]) -> Response:
    return run_virtual(action, seed=1)


class BadInputTest(unittest.TestCase):
    def setUp(self) -> None:
        self.node = FakeNode()

    def refused(self, got: Response, kind: ErrorKind, *words: str) -> None:
        self.assertEqual(got.error["error_kind"], kind.value, got.body)
        self.assertEqual(got.status, ANSWERS[kind].status)
        self.assertEqual(got.error["ran"], "not run")
        self.assertEqual(got.headers["bramleylead-error-kind"], kind.value)
        for word in words:
            self.assertIn(word, got.error["detail"])
        self.assertEqual([item for item in self.node.seen if isinstance(item, CallRequest)], [])

    def post(self, body: Any, path: str = CHAT_PATH, **headers: str) -> Response:
        return run(lambda: Caller(self.node).post(path, body, **headers))

    def test_malformed_json_names_line_and_column(self) -> None:
        self.refused(self.post(b'{"model": '), ErrorKind.MALFORMED, "line 1 column")

    def test_a_body_that_is_not_utf8(self) -> None:
        self.refused(self.post(b'{"model": "\xff"}'), ErrorKind.MALFORMED, "UTF-8")

    def test_deep_nesting_is_refused_not_crashed_on(self) -> None:
        self.refused(self.post(b"[" * 15_000), ErrorKind.MALFORMED)

    def test_wrong_types_name_path_value_and_what_is_allowed(self) -> None:
        body = {"model": 7, "messages": [{"role": "king", "content": "hi"}], "stream": "yes"}
        got = self.post(body)
        self.refused(got, ErrorKind.MALFORMED, "model: 7: must be a valid string")
        self.refused(got, ErrorKind.MALFORMED, 'messages.0.role: "king": must be', "'assistant'")
        self.refused(got, ErrorKind.MALFORMED, 'stream: "yes": must be a valid boolean')

    def test_a_key_that_occurs_twice(self) -> None:
        body = b'{"model": "tutor", "model": "other", "messages": []}'
        self.refused(self.post(body), ErrorKind.MALFORMED, '"model" occurs twice')

    def test_what_would_change_the_answers_shape_is_refused(self) -> None:
        self.refused(self.post({**CHAT, "n": 2}), ErrorKind.MALFORMED, "n: 2")
        got = self.post({**CHAT, "tools": [{"type": "function"}]})
        self.refused(got, ErrorKind.MALFORMED, "tools: not served")

    def test_bad_headers_are_all_named_at_once(self) -> None:
        got = self.post(
            CHAT,
            Bramleylead_Program="a/b",
            Bramleylead_Call="two",
            Bramleylead_History="some",
            Bramleylead_Deadline_S="-1",
        )
        for name in ("Program: a/b", "Call: two", "History: some", "Deadline-S: -1"):
            self.refused(got, ErrorKind.MALFORMED, f"Bramleylead-{name}")

    def test_a_call_number_without_a_program(self) -> None:
        got = self.post(CHAT, Bramleylead_Call="2")
        self.refused(got, ErrorKind.MALFORMED, "Bramleylead-Program: missing")

    def test_a_huge_body_is_refused_at_its_declared_length(self) -> None:
        got = self.post(CHAT, Content_Length="999999999")
        self.refused(got, ErrorKind.TOO_LARGE, str(SETTINGS.max_body_bytes))
        self.assertEqual(got.headers["connection"], "close")

    def test_a_huge_body_without_a_declared_length(self) -> None:
        self.refused(self.post(b"x" * 30_000), ErrorKind.TOO_LARGE)

    def test_huge_headers(self) -> None:
        self.refused(self.post(CHAT, X_Padding="x" * 40_000), ErrorKind.TOO_LARGE, "headers")

    def test_a_slow_sender_is_cut_off(self) -> None:
        parts = [b"{", b'"model":', b'"tutor"', b"}"]
        caller = Caller(self.node, pace_s=2.0)
        got = run(lambda: caller.send("POST", CHAT_PATH, parts, {}))
        self.refused(got, ErrorKind.DEADLINE_EXCEEDED, "body: not whole after 5 s")
        self.assertAlmostEqual(caller.first_byte_s, SETTINGS.body_timeout_s)

    def test_keys_are_told_apart(self) -> None:
        for key, path, kind in (
            ("", CHAT_PATH, ErrorKind.UNAUTHENTICATED),
            ("no such key", CHAT_PATH, ErrorKind.UNAUTHENTICATED),
            (OPERATOR_KEY, CHAT_PATH, ErrorKind.FORBIDDEN),
            ("key of another school", "/v1/tickets", ErrorKind.FORBIDDEN),
            ("no such key", "/v1/tickets", ErrorKind.UNAUTHENTICATED),
        ):
            caller = Caller(self.node, key=key)
            self.refused(run(lambda caller=caller, path=path: caller.post(path, CHAT)), kind)

    def test_an_unknown_path_and_a_wrong_method(self) -> None:
        self.refused(self.post({}, "/v1/nothing"), ErrorKind.UNKNOWN_TARGET, "/v1/nothing")
        got = run(lambda: Caller(self.node).send("PUT", "/v1/programs/p", [], {}))
        self.refused(got, ErrorKind.MALFORMED, "GET, DELETE")

    def test_a_model_that_no_kind_of_the_branch_has(self) -> None:
        self.refused(self.post({**CHAT, "model": "giant"}), ErrorKind.UNKNOWN_TARGET, "giant")

    def test_another_programs_id(self) -> None:
        caller = Caller(self.node, key="key of another school")
        self.refused(run(lambda: caller.get("/v1/programs/p-1")), ErrorKind.FORBIDDEN)

    def test_a_program_kind_that_the_node_refuses(self) -> None:
        self.node.open_result = Failure(ErrorKind.FORBIDDEN, "kind: exam: not of this branch")
        got = self.post({"kind": "exam"}, "/v1/programs")
        self.refused(got, ErrorKind.FORBIDDEN, "exam")

    def test_arguments_of_a_tool_must_be_an_object(self) -> None:
        self.refused(self.post([1], "/v1/programs/p-1/tools/issue"), ErrorKind.MALFORMED)

    def test_very_many_faulty_parts_are_not_all_worded(self) -> None:
        """Regression: a 4 MB body of faulty parts held up the node for 12 s."""
        for path in (b'"messages":[%s]', b'"messages":[{"role":"user","content":[%s]}]'):
            body = b'{"model":"a",' + path % b",".join([b"{}"] * 100_000) + b"}"
            self.assertLess(len(load_model(ChatBody, body).err_value), 5)

    def test_a_full_node_refuses_before_it_reads_the_body(self) -> None:
        async def body() -> Response:
            caller = Caller(self.node)
            caller.app._settings = SETTINGS.model_copy(update={"max_running": 2})
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(caller.post, CHAT_PATH, CHAT)
                await anyio.sleep(1)
                got = await caller.send("POST", CHAT_PATH, [b"{"], {})
                tasks.cancel_scope.cancel()
            return got

        self.node.script = [500.0]
        got = run(body)
        self.assertEqual((got.error["error_kind"], got.error["ran"]), ("overloaded", "not run"))
        self.assertEqual(got.headers["retry-after"], "2")

    def test_a_stopping_node_takes_no_new_work_but_serves_reads(self) -> None:
        self.node.stopping = True
        got = self.post(CHAT)
        self.refused(got, ErrorKind.STOPPING)
        self.assertEqual(got.headers["connection"], "close")
        self.assertEqual(run(lambda: Caller(self.node).get("/v1/programs/p-1")).status, 200)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(body=strategies.binary(max_size=60))
    def test_any_bytes_get_an_error_kind(self, body: bytes) -> None:
        got = run(lambda: Caller(FakeNode()).post(CHAT_PATH, body or b"{"))
        self.assertIn(got.error["error_kind"], {kind.value for kind in ErrorKind})
        self.assertEqual(got.error["ran"], "not run")

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        body=strategies.dictionaries(
            strategies.sampled_from(["model", "messages", "stream", "max_tokens", "n"]),
            strategies.recursive(
                strategies.none() | strategies.booleans() | strategies.integers(-2, 2),
                lambda inner: (
                    strategies.lists(inner, max_size=2)
                    | strategies.dictionaries(strategies.sampled_from(["role", "content"]), inner)
                ),
                max_leaves=4,
            ),
        )
    )
    def test_any_json_gets_an_answer_and_no_crash(self, body: dict[str, Any]) -> None:
        got = run(lambda: Caller(FakeNode()).post(CHAT_PATH, json.dumps(body).encode()))
        self.assertEqual(got.status, 400)


if __name__ == "__main__":
    unittest.main()
