"""The ten promises as invariants that the running code checks and counts."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple
from typing import final

import structlog
from aioprometheus import Counter
from aioprometheus import Registry

KEPT_VIOLATIONS = 100

log = structlog.get_logger()


class Promise(StrEnum):
    """What must always hold."""

    CALL_ORDER = "call_order"
    HISTORY = "history"
    BUDGET = "budget"
    ENGINE_MEMORY = "engine_memory"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    LEAVING_ENDPOINT = "leaving_endpoint"
    GRACEFUL_STOP = "graceful_stop"
    TICKETS = "tickets"


class Violation(NamedTuple):
    """One broken promise: what was seen, and where."""

    promise: Promise
    detail: str


class PromiseBroken(AssertionError):  # noqa: N818 - reads as the statement that it is
    """Raised instead of acting on a state that would break a promise."""


@final
class Promises:
    """Checks invariants for one process and counts violations by promise."""

    def __init__(self, registry: Registry) -> None:
        self.violations: list[Violation] = []
        self._counter = Counter(
            "bramleylead_invariant_violations_total",
            "Violations of the promises that must always hold.",
            registry=registry,
        )
        for promise in Promise:
            self._counter.set({"promise": promise.value}, 0)

    def check(self, promise: Promise, holds: bool, detail: str) -> bool:
        """Count and keep a violation unless ``holds``; return ``holds``."""
        if holds:
            return True
        self._counter.inc({"promise": promise.value})
        if len(self.violations) < KEPT_VIOLATIONS:
            self.violations.append(Violation(promise, detail))
        log.error("promise_broken", promise=promise.value, detail=detail)
        return False

    def require(self, promise: Promise, holds: bool, detail: str) -> None:
        """Like :meth:`check`, for acts that must not go ahead.

        :raises PromiseBroken: unless ``holds``.
        """
        if not self.check(promise, holds, detail):
            raise PromiseBroken(f"{promise.value}: {detail}")
