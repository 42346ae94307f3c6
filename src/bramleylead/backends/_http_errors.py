"""Maps failed HTTP requests to ``BackendError``; see ``docs/endpoints.md``."""

from __future__ import annotations

import json

from bramleylead.backends._types import BackendError
from bramleylead.backends._types import BackendErrorKind
from bramleylead.connection._http_client import HttpAnswer
from bramleylead.connection._http_client import HttpFailure

RAN_HEADER = "x-ran"
NOT_RUN = "not run"
RAN = "ran"
STALE_FENCE = "stale_fence"
TOO_MANY_REQUESTS = 429
MAX_BODY_EXCERPT_BYTES = 300


def error_without_answer(failure: HttpFailure) -> BackendError:
    """Return the error for a request that got no complete answer."""
    kind = BackendErrorKind.LOST if failure.sent else BackendErrorKind.NOT_SENT
    return BackendError(kind, failure.detail)


def error_from_answer(name: str, answer: HttpAnswer) -> BackendError:
    """Return the error for an answer with a status other than 200.

    The call counts as not run, or as run and failed, only if the answer says so explicitly; in
    all other cases it may have run.
    """
    body_excerpt = answer.body[:MAX_BODY_EXCERPT_BYTES].decode(errors="replace")
    detail = f"{name}: HTTP {answer.status}: {body_excerpt}"
    error = _error_object(answer.body)
    ran = answer.headers.get(RAN_HEADER, error.get("ran", ""))
    if error.get("kind") == STALE_FENCE:
        return BackendError(BackendErrorKind.STALE_FENCE, detail)
    if ran == NOT_RUN or answer.status == TOO_MANY_REQUESTS:
        return BackendError(BackendErrorKind.REFUSED, detail, _retry_after_s(answer))
    if ran == RAN:
        return BackendError(BackendErrorKind.FAILED, detail)
    return BackendError(BackendErrorKind.LOST, detail)


def malformed_answer_error(name: str, error: Exception) -> BackendError:
    """Return the error for an answer that can't be parsed; the call may have run."""
    detail = f"{name}: malformed answer: {type(error).__name__}: {error}"
    return BackendError(BackendErrorKind.LOST, detail)


def _error_object(body: bytes) -> dict[str, str]:
    try:
        error = json.loads(body)["error"]
        return {key: value for key, value in error.items() if isinstance(value, str)}
    except (AttributeError, KeyError, TypeError, ValueError):
        return {}


def _retry_after_s(answer: HttpAnswer) -> float:
    try:
        return max(0.0, float(answer.headers.get("retry-after", "0")))
    except ValueError:
        return 0.0
