"""The digest that tells a retry from another call."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from bramleylead.process.calls import _admission
from bramleylead.process.calls._admission import request_digest
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from testing.process.support import Bench
from testing.process.support import run_with_owner


def request(**changes: Any) -> CallRequest:
    whole = CallRequest(
        branch="school",
        program="p1",
        number=1,
        incarnation=0,
        key="",
        call_kind=CallKind.TOOL,
        target="issue",
        messages=(("user", "Hi"),),
        whole_history=False,
        arguments={"name": "ann", "year": 2},
        max_tokens=10,
        deadline_s=5.0,
    )
    return whole._replace(**changes)


class DigestTest(unittest.TestCase):
    def test_the_same_arguments_in_another_order_are_the_same_request(self) -> None:
        other = request(arguments={"year": 2, "name": "ann"})
        self.assertEqual(request_digest(request()), request_digest(other))

    def test_what_is_asked_for_makes_another_digest(self) -> None:
        changes: list[dict[str, Any]] = [
            {"messages": (("user", "Ho"),)},
            {"messages": (("system", "Hi"),)},
            {"target": "look_up"},
            {"arguments": {"name": "ann", "year": 3}},
            {"call_kind": CallKind.MODEL},
        ]
        digests = {request_digest(request(**change)) for change in changes}
        self.assertEqual(len(digests | {request_digest(request())}), len(changes) + 1)

    def test_a_text_that_is_no_unicode_has_a_digest(self) -> None:
        odd = request(messages=(("user", "\ud800"),))
        self.assertNotEqual(request_digest(request()), request_digest(odd))

    def test_a_long_history_is_hashed_once_a_call(self) -> None:
        """It was hashed twice: to decide, and again for the journal."""

        async def body(bench: Bench) -> Any:
            await bench.open()
            with mock.patch.object(_admission, "request_digest", wraps=request_digest) as hashed:
                end = await bench.call(number=1)
            return end.number, hashed.call_count

        self.assertEqual(run_with_owner(body), (1, 1))
