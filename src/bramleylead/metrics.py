"""All metrics of one node, in its own registry, since several nodes can live in one process."""

from __future__ import annotations

from typing import final

from aioprometheus import Counter
from aioprometheus import Gauge
from aioprometheus import Histogram
from aioprometheus import Registry
from aioprometheus import render

FIRST_TOKEN_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
REQUEST_BUCKETS_S = (0.005, 0.025, 0.1, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0)
EMPTY_PAGE = b"\n"

Labels = dict[str, str]


@final
class Metrics:
    """Counters, gauges and histograms of one node.

    Attributes are named like the metric without its prefix. A part that needs another metric makes
    it with :meth:`counter`, :meth:`gauge` or :meth:`histogram`.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self._add_request_metrics()
        self._add_node_metrics()
        self._add_scheduling_metrics()

    def counter(self, name: str, doc: str) -> Counter:
        """Add a counter."""
        return Counter(f"bramleylead_{name}", doc, registry=self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Add a gauge."""
        return Gauge(f"bramleylead_{name}", doc, registry=self.registry)

    def histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        """Add a histogram."""
        return Histogram(f"bramleylead_{name}", doc, buckets=buckets, registry=self.registry)

    def render(self, accept: str = "") -> tuple[bytes, str]:
        """Return the page of ``/metrics`` and its content type."""
        content, headers = render(self.registry, [accept] if accept else [])
        return content or EMPTY_PAGE, headers["Content-Type"]

    def _add_request_metrics(self) -> None:
        self.requests = self.counter("requests_total", "HTTP requests by route and answer.")
        self.requests_running = self.gauge("requests_running", "HTTP requests under way.")
        self.request_seconds = self.histogram(
            "request_seconds", "Time of whole HTTP requests by route.", REQUEST_BUCKETS_S
        )
        self.callers_gone = self.counter(
            "callers_gone_total", "Callers that closed the connection before their answer ended."
        )
        self.calls_running = self.gauge("calls_running", "Calls of programs under way, by kind.")
        self.calls = self.counter("calls_total", "Calls of programs by kind and result.")
        self.first_token_seconds = self.histogram(
            "first_token_seconds", "From a model call to its first token.", FIRST_TOKEN_BUCKETS_S
        )
        self.tokens = self.counter("tokens_total", "Tokens by kind: prompt, cached, output.")

    def _add_node_metrics(self) -> None:
        self.peer_frames_bad = self.counter(
            "peer_frames_bad_total", "Frames from peers that were no well-formed message."
        )
        self.highest_epoch = self.gauge("highest_epoch", "Highest epoch of an owned partition.")
        self.members = self.gauge("members", "Known nodes by state.")
        self.ticket_in_force = self.gauge("ticket_in_force", "Ticket number in force.")
        self.ticket_age_seconds = self.gauge(
            "ticket_age_seconds", "Age of the knowledge that the number in force is current."
        )
        self.programs = self.gauge("programs", "Programs held, by state.")
        self.budget_refusals = self.counter(
            "budget_refusals_total", "Calls refused because a budget was exhausted."
        )

    def _add_scheduling_metrics(self) -> None:
        self.slots_used = self.gauge("slots_used", "Slots granted and not given back, by endpoint.")
        self.slot_limit = self.gauge("slot_limit", "Slots that an endpoint may have.")
        self.queue_length = self.gauge("queue_length", "Calls waiting for a slot, by pool.")
        self.retries = self.counter("retries_total", "Attempts after the first, by cause.")
        self.cache_tokens_held = self.gauge(
            "cache_tokens_held", "Tokens of cache held for programs, by endpoint."
        )
        self.cache_tokens_released = self.counter(
            "cache_tokens_released_total", "Tokens of cache given back, by endpoint."
        )
