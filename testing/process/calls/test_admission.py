"""Tests of the request digest, which tells a retry from a different call."""

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
    base = CallRequest(
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
    return base._replace(**changes)


class DigestTest(unittest.TestCase):
    def test_digest_ignores_argument_order(self) -> None:
        reordered = request(arguments={"year": 2, "name": "ann"})
        self.assertEqual(request_digest(request()), request_digest(reordered))

    def test_digest_depends_on_request_content(self) -> None:
        changes: list[dict[str, Any]] = [
            {"messages": (("user", "Ho"),)},
            {"messages": (("system", "Hi"),)},
            {"target": "look_up"},
            {"arguments": {"name": "ann", "year": 3}},
            {"call_kind": CallKind.MODEL},
        ]
        digests = {request_digest(request(**change)) for change in changes}
        self.assertEqual(len(digests | {request_digest(request())}), len(changes) + 1)

    def test_text_with_lone_surrogate_has_digest(self) -> None:
        invalid_unicode = request(messages=(("user", "\ud800"),))
        self.assertNotEqual(request_digest(request()), request_digest(invalid_unicode))

    def test_call_hashes_request_once(self) -> None:
        """Regression: a long history was hashed twice, once only for the journal entry."""

        async def body(bench: Bench) -> Any:
            await bench.open()
            with mock.patch.object(
                _admission, "request_digest", wraps=request_digest
            ) as digest_mock:
                end = await bench.call(number=1)
            return end.number, digest_mock.call_count

        self.assertEqual(run_with_owner(body), (1, 1))
