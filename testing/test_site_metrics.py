"""Decisions are counted by event and reason, and the state can be read."""

from __future__ import annotations

import json
import unittest

import anyio

from bramleylead.connection._http_client import HttpClient
from bramleylead.site_metrics import SiteMetrics
from bramleylead.standins._serving import serve_app
from testing.asgi_client import RawRequest
from testing.asgi_client import send


class SiteMetricsTest(unittest.TestCase):
    def page(self, metrics: SiteMetrics, path: str) -> tuple[int, str]:
        async def read() -> tuple[int, str]:
            answer = await send(metrics.app, RawRequest("GET", path))
            return answer.status, answer.body.decode()

        return anyio.run(read)

    def test_lines_are_counted_by_reason(self) -> None:
        metrics = SiteMetrics()
        for kind in ("overloaded", "overloaded", "budget_exhausted"):
            line = {"event": "refused", "kind": kind, "request": "q", "took_s": 0.02}
            self.assertIs(metrics.count_line(None, "info", line), line)
        _, text = self.page(metrics, "/metrics")
        self.assertIn('bramleylead_decisions_total{event="refused",kind="overloaded"} 2', text)
        self.assertIn('bramleylead_answer_seconds_count{event="refused"} 3', text)
        self.assertNotIn('request="q"', text)

    def test_sources_without_end_are_no_labels(self) -> None:
        """Each revision of the store and each node's name made a counter of its own."""
        metrics = SiteMetrics()
        for source in ("memory", "store at 4", "store at 5", "storage-1"):
            metrics.count_line(None, "info", {"event": "seen", "source": source})
        _, text = self.page(metrics, "/metrics")
        self.assertIn('bramleylead_decisions_total{event="seen"} 3', text)
        self.assertIn('bramleylead_decisions_total{event="seen",source="memory"} 1', text)

    def test_the_state_is_shown_as_numbers_and_as_a_dump(self) -> None:
        metrics = SiteMetrics()
        metrics.describe(lambda: {"replicas": 9}, lambda: {"node": "g1"})
        metrics.describe_log(lambda: {"log_lines_dropped": 4})
        page = self.page(metrics, "/metrics")[1]
        self.assertIn('bramleylead_state{name="replicas"} 9', page)
        self.assertIn('bramleylead_state{name="log_lines_dropped"} 4', page)
        self.assertEqual(json.loads(self.page(metrics, "/dump")[1]), {"node": "g1"})

    def test_the_page_is_served_over_http(self) -> None:
        """Uvicorn took an application that is a method for one of an old interface: status 500."""

        async def main() -> int:
            async with (
                serve_app(SiteMetrics().app, "127.0.0.1:0") as address,
                HttpClient(address) as client,
            ):
                return (await client.request("GET", "/metrics", timeout_s=5.0)).unwrap().status

        self.assertEqual(anyio.run(main), 200)

    def test_another_path_is_not_found(self) -> None:
        self.assertEqual(self.page(SiteMetrics(), "/other")[0], 404)
