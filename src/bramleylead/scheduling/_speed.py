"""An engine's speed, learned from answers: seconds a prefilled token and between tokens."""

from __future__ import annotations

from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._types import SlotRequest
from bramleylead.scheduling._view import OBSERVATION_WEIGHT
from bramleylead.scheduling._view import EndpointView

MIN_PREFILLED_TOKENS = 200
"""Shorter prefills tell more of the queue than of the speed."""


def learn_speed(view: EndpointView, report: SlotFinished) -> None:
    """Take in one answer's times."""
    if not report.ok or report.output_tokens == 0:
        return
    gap_s = max(0.0, report.duration_s - report.first_token_s) / report.output_tokens
    view.token_s += OBSERVATION_WEIGHT * (gap_s - view.token_s)
    prefilled = report.prompt_tokens - report.cached_tokens
    if prefilled >= MIN_PREFILLED_TOKENS:
        seen = report.first_token_s / prefilled
        step = OBSERVATION_WEIGHT if seen > view.prefill_s_per_token else 3 * OBSERVATION_WEIGHT
        view.prefill_s_per_token += min(1.0, step) * (seen - view.prefill_s_per_token)


def rebuild_s(view: EndpointView, request: SlotRequest) -> float:
    """Return the prefill time of the tokens that the engine is not believed to hold."""
    missing = request.prompt_tokens - view.holds(request)
    return missing * view.prefill_s_per_token


def expected_duration_s(view: EndpointView, request: SlotRequest) -> float:
    """Return how long the call would run if it started now."""
    return rebuild_s(view, request) + request.expected_output * view.token_s
