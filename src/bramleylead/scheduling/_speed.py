"""An engine's speed, learned from answers: seconds a prefilled token and between tokens."""

from __future__ import annotations

from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._view import OBSERVATION_WEIGHT
from bramleylead.scheduling._view import EndpointView
from bramleylead.scheduling._view import Waiting

MIN_PREFILLED_TOKENS = 200
"""Shorter prefills tell more of the queue than of the speed."""


def learn_speed(view: EndpointView, call: Waiting, report: SlotFinished) -> None:
    """Take in one answer's times; the prefill before its own is taken off its first token."""
    if not report.ok or report.output_tokens == 0:
        return
    gap_s = max(0.0, report.duration_s - report.first_token_s) / report.output_tokens
    view.token_s += OBSERVATION_WEIGHT * (gap_s - view.token_s)
    prefilled = report.prompt_tokens - report.cached_tokens
    if prefilled < MIN_PREFILLED_TOKENS:
        return
    seen = max(0.0, report.first_token_s - call.backlog_s) / prefilled
    view.prefill_s_per_token += OBSERVATION_WEIGHT * (seen - view.prefill_s_per_token)
