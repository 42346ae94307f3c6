"""Estimates an engine's speed from its answers: time per prefilled and per output token."""

from __future__ import annotations

from bramleylead.scheduling._endpoint_view import OBSERVATION_WEIGHT
from bramleylead.scheduling._endpoint_view import EndpointView
from bramleylead.scheduling._endpoint_view import ScheduledCall
from bramleylead.scheduling._types import SlotFinished

MIN_PREFILLED_TOKENS = 200
"""Shorter prefills are ignored: their time depends more on queueing than on the speed."""


def update_speed(view: EndpointView, call: ScheduledCall, report: SlotFinished) -> None:
    """Update the estimates from one answer.

    The prefill time of the calls ahead of it is subtracted from its first-token time.
    """
    if not report.ok or report.output_tokens == 0:
        return
    token_s = max(0.0, report.duration_s - report.first_token_s) / report.output_tokens
    view.token_s += OBSERVATION_WEIGHT * (token_s - view.token_s)
    prefilled_tokens = report.prompt_tokens - report.cached_tokens
    if prefilled_tokens < MIN_PREFILLED_TOKENS:
        return
    prefill_s_per_token = max(0.0, report.first_token_s - call.backlog_s) / prefilled_tokens
    view.prefill_s_per_token += OBSERVATION_WEIGHT * (
        prefill_s_per_token - view.prefill_s_per_token
    )
