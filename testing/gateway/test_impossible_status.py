"""Answers whose status no protocol knows."""

from __future__ import annotations

import unittest

from bramleylead.platform._types import CallKind
from testing.gateway._site import Site
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site


class ImpossibleStatusTest(unittest.TestCase):
    # Guards against an unexpected error where the answer is passed on.
    def test_a_status_over_599_is_no_answer(self) -> None:
        async def main(site: Site) -> None:
            script = respond_with(lambda got: full_response(got, b"x", "999 X"))
            await site.add_replica("a", script)
            answered = await site.request("/unsafe/a", body=b"x")
            self.assertEqual(answered.status, 502)
            self.assertNotIn("bramleylead-server-stamp", answered.headers)

        run_with_site(main, route(CallKind.UNSAFE))
