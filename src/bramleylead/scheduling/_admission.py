"""How many calls an engine is given at once, learned from its own times.

Additive increase, multiplicative decrease (Chiu and Jain, 1989) on the time between tokens and to
the first token: both are seen with each answer, while load reports lag.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import final

from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._view import EndpointView
from bramleylead.scheduling._view import Waiting

DECREASE = 0.85
"""Factor on the level when an engine is too slow."""
BETWEEN_DECREASES_S = 1.0
"""One decrease in this time: answers that overlap tell of the same overload."""
INCREASE = 1.0
"""Calls added after a whole level of good answers."""
GAP_SHARE_OVER = 0.05
"""Part of the answers that may be over the target."""


class AdmissionTargets(NamedTuple):
    """What an engine must keep to.

    :param token_gap_s: mean time between tokens of an answer.
    :param first_token_s: time to the first token, beside the time its own prompt needs.
    """

    token_gap_s: float
    first_token_s: float
    min_calls: int


@final
class Admission:
    """Learns the level of each engine of a pool between ``min_calls`` and its ``max_calls``."""

    def __init__(self, targets: AdmissionTargets) -> None:
        self._targets = targets
        self._decreased_at: dict[str, float] = {}
        self._over: dict[str, float] = {}

    def finished(self, call: Waiting, view: EndpointView, report: SlotFinished, now: float) -> None:
        """Adapt an engine's level to one answer."""
        if not report.ok or report.output_tokens == 0:
            return
        too_slow = self._too_slow(view, report)
        over = self._over.get(view.name, 0.0)
        over += (float(too_slow) - over) / max(8.0, view.limit)
        self._over[view.name] = over
        if too_slow and over > GAP_SHARE_OVER:
            self._decrease(call, view, now)
        elif not too_slow and view.outstanding + 1 >= int(view.limit):
            view.limit = min(view.max_calls, view.limit + INCREASE / view.limit)

    def _too_slow(self, view: EndpointView, report: SlotFinished) -> bool:
        gap_s = (report.duration_s - report.first_token_s) / report.output_tokens
        own_prefill_s = (report.prompt_tokens - report.cached_tokens) * view.prefill_s_per_token
        late_s = report.first_token_s - own_prefill_s
        return gap_s > self._targets.token_gap_s or late_s > self._targets.first_token_s

    def _decrease(self, call: Waiting, view: EndpointView, now: float) -> None:
        last = self._decreased_at.get(view.name, float("-inf"))
        if call.granted_at < last or now - last < BETWEEN_DECREASES_S:
            return
        self._decreased_at[view.name] = now
        view.limit = max(float(self._targets.min_calls), view.limit * DECREASE)
