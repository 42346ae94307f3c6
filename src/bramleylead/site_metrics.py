"""Metrics of a gateway or a node of the ledger, on an address of their own.

Every line of the log is counted by its event and reason, so that a counter and the lines behind it
never disagree. Times are histograms of their own.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import final

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus import render

from bramleylead.http._exchange import Exchange
from bramleylead.http._exchange import Receive
from bramleylead.http._exchange import Scope
from bramleylead.http._exchange import Send
from bramleylead.http._responses import JSON_TYPE
from bramleylead.http._responses import encode_json

METRICS_PATH = "/metrics"
DUMP_PATH = "/dump"
SECONDS_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
REASON_FIELDS = ("kind", "status", "may_have_run", "task")
"""Fields of a line that name a reason and take few values."""
COUNTED_SOURCES = ("memory", "ledger")
"""Where a turn was found. Other sources name nodes or revisions, of which there is no end."""

Gauges = Callable[[], Mapping[str, float]]
Labels = tuple[tuple[str, str], ...]
Dump = Callable[[], Mapping[str, Any]]


@final
class SiteMetrics:
    """The metrics of one process."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._lines = Counter(
            "bramleylead_decisions_total",
            "Lines of the log by event and reason, those not written among them.",
            registry=self.registry,
        )
        self._uncounted: collections.Counter[Labels] = collections.Counter()
        self._answers = Histogram(
            "bramleylead_answer_seconds",
            "From a request's arrival to the end of its answer, by outcome.",
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._state = Gauge(
            "bramleylead_state", "What the process believes, by name.", registry=self.registry
        )
        self._gauges: Gauges = dict
        self._log_gauges: Gauges = dict
        self._dump: Dump = dict

    def describe(self, gauges: Gauges, dump: Dump) -> None:
        """Say where the state comes from: numbers for the metrics page, all of it for a dump."""
        self._gauges = gauges
        self._dump = dump

    def describe_log(self, gauges: Gauges) -> None:
        """Say where the numbers on the log's writer come from."""
        self._log_gauges = gauges

    def count_line(self, logger: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
        """Count a line of the log (a structlog processor)."""
        labels = {"event": event["event"]}
        for field in REASON_FIELDS:
            if field in event:
                labels[field] = str(event[field])
        if event.get("source") in COUNTED_SOURCES:
            labels["source"] = event["source"]
        self._uncounted[tuple(labels.items())] += 1
        if "took_s" in event:
            self._answers.observe({"event": event["event"]}, event["took_s"])
        return event

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve the metrics page and the state dump."""
        exchange = Exchange(scope, receive, send)
        if exchange.path == METRICS_PATH:
            self._add_lines()
            for name, value in {**self._log_gauges(), **self._gauges()}.items():
                self._state.set({"name": name}, value)
            accept = exchange.headers.get("accept", "")
            content, headers = render(self.registry, [accept] if accept else [])
            await exchange.respond(200, content, [("content-type", headers["Content-Type"])])
        elif exchange.path == DUMP_PATH:
            body = encode_json(self._dump())
            await exchange.respond(200, body, [("content-type", JSON_TYPE)])
        else:
            await exchange.respond(404, b"", [])

    def _add_lines(self) -> None:
        """Add the lines counted since the last time; each addition checks its labels."""
        counted, self._uncounted = self._uncounted, collections.Counter()
        for labels, count in counted.items():
            self._lines.add(dict(labels), count)
