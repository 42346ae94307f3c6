"""Invalid HTTP input gets a response with an error kind and never reaches the node as a call."""

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

    def assert_refused(self, response: Response, kind: ErrorKind, *texts: str) -> None:
        self.assertEqual(response.error["error_kind"], kind.value, response.body)
        self.assertEqual(response.status, ANSWERS[kind].status)
        self.assertEqual(response.error["ran"], "not run")
        self.assertEqual(response.headers["bramleylead-error-kind"], kind.value)
        for text in texts:
            self.assertIn(text, response.error["detail"])
        self.assertEqual([item for item in self.node.requests if isinstance(item, CallRequest)], [])

    def post(self, body: Any, path: str = CHAT_PATH, **headers: str) -> Response:
        return run(lambda: Caller(self.node).post(path, body, **headers))

    def test_malformed_json_names_line_and_column(self) -> None:
        self.assert_refused(self.post(b'{"model": '), ErrorKind.MALFORMED, "line 1 column")

    def test_a_body_that_is_not_utf8_is_refused(self) -> None:
        self.assert_refused(self.post(b'{"model": "\xff"}'), ErrorKind.MALFORMED, "UTF-8")

    def test_deeply_nested_json_is_refused(self) -> None:
        self.assert_refused(self.post(b"[" * 15_000), ErrorKind.MALFORMED)

    def test_a_value_that_no_message_between_nodes_carries_is_refused(self) -> None:
        for value in (str(2**64), "9" * 4_901, "1e999", "[" * 300 + "]" * 300, '"\\ud800"'):
            with self.subTest(value[:20]):
                body = f'{{"candidate": {value}}}'.encode()
                response = self.post(body, "/v1/programs/p-1/tools/issue")
                self.assert_refused(response, ErrorKind.MALFORMED, "body: ")

    def test_type_errors_name_the_path_the_value_and_what_is_allowed(self) -> None:
        body = {"model": 7, "messages": [{"role": "king", "content": "hi"}], "stream": "yes"}
        response = self.post(body)
        self.assert_refused(response, ErrorKind.MALFORMED, "model: 7: must be a valid string")
        self.assert_refused(
            response, ErrorKind.MALFORMED, 'messages.0.role: "king": must be', "'assistant'"
        )
        self.assert_refused(response, ErrorKind.MALFORMED, 'stream: "yes": must be a valid boolean')

    def test_a_duplicate_json_key_is_refused(self) -> None:
        body = b'{"model": "tutor", "model": "other", "messages": []}'
        self.assert_refused(self.post(body), ErrorKind.MALFORMED, '"model" occurs twice')

    def test_parameters_that_change_the_answer_format_are_refused(self) -> None:
        self.assert_refused(self.post({**CHAT, "n": 2}), ErrorKind.MALFORMED, "n: 2")
        response = self.post({**CHAT, "tools": [{"type": "function"}]})
        self.assert_refused(response, ErrorKind.MALFORMED, "tools: not supported")

    def test_all_invalid_headers_are_reported_together(self) -> None:
        response = self.post(
            CHAT,
            Bramleylead_Program="a/b",
            Bramleylead_Call="two",
            Bramleylead_History="some",
            Bramleylead_Deadline_S="-1",
        )
        for name in ("Program: a/b", "Call: two", "History: some", "Deadline-S: -1"):
            self.assert_refused(response, ErrorKind.MALFORMED, f"Bramleylead-{name}")

    def test_a_call_number_without_a_program_is_refused(self) -> None:
        response = self.post(CHAT, Bramleylead_Call="2")
        self.assert_refused(response, ErrorKind.MALFORMED, "Bramleylead-Program: missing")

    def test_a_body_with_too_large_a_content_length_is_refused(self) -> None:
        response = self.post(CHAT, Content_Length="999999999")
        self.assert_refused(response, ErrorKind.TOO_LARGE, str(SETTINGS.max_body_bytes))
        self.assertEqual(response.headers["connection"], "close")

    def test_a_too_large_body_without_content_length_is_refused(self) -> None:
        self.assert_refused(self.post(b"x" * 30_000), ErrorKind.TOO_LARGE)

    def test_too_large_headers_are_refused(self) -> None:
        self.assert_refused(self.post(CHAT, X_Padding="x" * 40_000), ErrorKind.TOO_LARGE, "headers")

    def test_a_body_that_arrives_too_slowly_is_refused(self) -> None:
        parts = [b"{", b'"model":', b'"tutor"', b"}"]
        caller = Caller(self.node, part_interval_s=2.0)
        response = run(lambda: caller.send("POST", CHAT_PATH, parts, {}))
        self.assert_refused(response, ErrorKind.DEADLINE_EXCEEDED, "body: incomplete after 5 s")
        self.assertAlmostEqual(caller.first_byte_s, SETTINGS.body_timeout_s)

    def test_missing_unknown_and_forbidden_keys_get_different_errors(self) -> None:
        for key, path, kind in (
            ("", CHAT_PATH, ErrorKind.UNAUTHENTICATED),
            ("no such key", CHAT_PATH, ErrorKind.UNAUTHENTICATED),
            (OPERATOR_KEY, CHAT_PATH, ErrorKind.FORBIDDEN),
            ("key of another school", "/v1/tickets", ErrorKind.FORBIDDEN),
            ("no such key", "/v1/tickets", ErrorKind.UNAUTHENTICATED),
        ):
            caller = Caller(self.node, key=key)
            self.assert_refused(run(lambda caller=caller, path=path: caller.post(path, CHAT)), kind)

    def test_an_unknown_path_and_a_wrong_method_are_refused(self) -> None:
        self.assert_refused(self.post({}, "/v1/nothing"), ErrorKind.UNKNOWN_TARGET, "/v1/nothing")
        response = run(lambda: Caller(self.node).send("PUT", "/v1/programs/p", [], {}))
        self.assert_refused(response, ErrorKind.MALFORMED, "GET, DELETE")

    def test_a_model_in_no_program_kind_of_the_branch_is_refused(self) -> None:
        self.assert_refused(
            self.post({**CHAT, "model": "giant"}), ErrorKind.UNKNOWN_TARGET, "giant"
        )

    def test_a_program_of_another_branch_is_forbidden(self) -> None:
        caller = Caller(self.node, key="key of another school")
        self.assert_refused(run(lambda: caller.get("/v1/programs/p-1")), ErrorKind.FORBIDDEN)

    def test_a_refusal_of_a_program_kind_is_returned(self) -> None:
        self.node.open_result = Failure(ErrorKind.FORBIDDEN, "kind: exam: not of this branch")
        response = self.post({"kind": "exam"}, "/v1/programs")
        self.assert_refused(response, ErrorKind.FORBIDDEN, "exam")

    def test_tool_arguments_must_be_an_object(self) -> None:
        self.assert_refused(self.post([1], "/v1/programs/p-1/tools/issue"), ErrorKind.MALFORMED)

    def test_validation_stops_at_the_first_errors(self) -> None:
        """Formatting every error of a 4 MB body of invalid parts blocked the node for 12 s."""
        for path in (b'"messages":[%s]', b'"messages":[{"role":"user","content":[%s]}]'):
            body = b'{"model":"a",' + path % b",".join([b"{}"] * 100_000) + b"}"
            self.assertLess(len(load_model(ChatBody, body).err_value), 5)

    def test_an_overloaded_node_refuses_before_it_reads_the_body(self) -> None:
        async def body() -> Response:
            caller = Caller(self.node)
            caller.app._settings = SETTINGS.model_copy(update={"max_running": 2})
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(caller.post, CHAT_PATH, CHAT)
                await anyio.sleep(1)
                response = await caller.send("POST", CHAT_PATH, [b"{"], {})
                tasks.cancel_scope.cancel()
            return response

        self.node.script = [500.0]
        response = run(body)
        self.assertEqual(
            (response.error["error_kind"], response.error["ran"]), ("overloaded", "not run")
        )
        self.assertEqual(response.headers["retry-after"], "2")

    def test_a_stopping_node_refuses_new_work_but_serves_reads(self) -> None:
        self.node.stopping = True
        response = self.post(CHAT)
        self.assert_refused(response, ErrorKind.STOPPING)
        self.assertEqual(response.headers["connection"], "close")
        self.assertEqual(run(lambda: Caller(self.node).get("/v1/programs/p-1")).status, 200)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(body=strategies.binary(max_size=60))
    def test_random_bytes_get_an_error_kind(self, body: bytes) -> None:
        response = run(lambda: Caller(FakeNode()).post(CHAT_PATH, body or b"{"))
        self.assertIn(response.error["error_kind"], {kind.value for kind in ErrorKind})
        self.assertEqual(response.error["ran"], "not run")

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
    def test_random_json_gets_an_error_response(self, body: dict[str, Any]) -> None:
        response = run(lambda: Caller(FakeNode()).post(CHAT_PATH, json.dumps(body).encode()))
        self.assertEqual(response.status, 400)


if __name__ == "__main__":
    unittest.main()
