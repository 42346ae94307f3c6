"""How one attempt to run a call at an endpoint ended."""

from __future__ import annotations

from enum import Enum
from typing import Any
from typing import NamedTuple

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind


class AttemptOutcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    NOT_RUN = "not run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class AttemptResult(NamedTuple):
    """Result of one attempt at an endpoint.

    :param reached: whether the call reached the endpoint and thus put load on it.
    """

    outcome: AttemptOutcome
    detail: str = ""
    value: Any = None
    finish: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    first_token_s: float = 0.0
    retry_after_s: float = 0.0
    reached: bool = True


def attempt_result_from_error(error: BackendError) -> AttemptResult:
    """Map an endpoint's error to the result of the attempt."""
    if error.kind is BackendErrorKind.NOT_SENT:
        return AttemptResult(AttemptOutcome.NOT_RUN, error.detail, reached=False)
    if error.kind is BackendErrorKind.REFUSED:
        finish = "" if error.retry_after_s > 0 else "rejected"
        return AttemptResult(
            AttemptOutcome.NOT_RUN, error.detail, finish=finish, retry_after_s=error.retry_after_s
        )
    if error.kind is BackendErrorKind.STALE_FENCE:
        return AttemptResult(AttemptOutcome.NOT_RUN, error.detail)
    if error.kind is BackendErrorKind.LOST:
        return AttemptResult(AttemptOutcome.UNKNOWN, error.detail)
    return AttemptResult(AttemptOutcome.FAILED, error.detail)
