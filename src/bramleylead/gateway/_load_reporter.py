"""Collects what this gateway reports of its load with each message to the ledger."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from bramleylead.placement._fleet_table import LoadReport
from bramleylead.placement._prompt import Prompt
from bramleylead.placement._replica_selector import ReplicaSelector

MAX_PROMPTS_PER_REPORT = 32


@final
class LoadReporter:
    """The running requests of a gateway, what they occupy, and where its latest turns ran.

    :param node: identifies the gateway.
    :param send_now: sends a report in the background, without waiting for another message.
    """

    def __init__(
        self, node: str, selector: ReplicaSelector, *, send_now: Callable[[], None] = lambda: None
    ) -> None:
        self._node = node
        self._selector = selector
        self._send_now = send_now
        self._prompts: list[tuple[str, tuple[str, ...]]] = []

    def report_placement(self) -> None:
        """Report at once that a turn was placed, so that others don't choose the same replica."""
        self._send_now()

    def record_turn(self, replica: str, prompt: Prompt) -> None:
        """Record that a replica has run a turn and has its prompt cached."""
        if prompt.parts and len(self._prompts) < MAX_PROMPTS_PER_REPORT:
            self._prompts.append((replica, tuple(name for name, _ in prompt.parts)))

    def report(self) -> LoadReport:
        """Return the report for the next message; each turn is reported once."""
        prompts, self._prompts = self._prompts, []
        return LoadReport(self._node, self._selector.counters(), tuple(prompts))
