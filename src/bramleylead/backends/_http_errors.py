"""What an endpoint's HTTP answer says about whether the call ran; see ``docs/endpoints.md``."""

from __future__ import annotations

import json

from bramleylead.backends._types import BackendError
from bramleylead.backends._types import BackendErrorKind
from bramleylead.connection._http_client import HttpFailure
from bramleylead.connection._http_client import HttpResponse

RAN_HEADER = "x-ran"
NOT_RUN = "not run"
RAN = "ran"
STALE_FENCE = "stale_fence"
TOO_MANY_REQUESTS = 429
SHOWN_BODY_BYTES = 300


def error_without_answer(failure: HttpFailure) -> BackendError:
    """Return the error for a request that got no whole answer."""
    kind = BackendErrorKind.LOST if failure.sent else BackendErrorKind.NOT_SENT
    return BackendError(kind, failure.detail)


def error_of_answer(name: str, answer: HttpResponse) -> BackendError:
    """Return the error for an answer other than success.

    Only an explicit statement counts as not run or as run and failed; anything else may have run.
    """
    shown = answer.body[:SHOWN_BODY_BYTES].decode(errors="replace")
    detail = f"{name}: HTTP {answer.status}: {shown}"
    error = _error_object(answer.body)
    ran = answer.headers.get(RAN_HEADER, error.get("ran", ""))
    if error.get("kind") == STALE_FENCE:
        return BackendError(BackendErrorKind.STALE_FENCE, detail)
    if ran == NOT_RUN or answer.status == TOO_MANY_REQUESTS:
        return BackendError(BackendErrorKind.REFUSED, detail, _retry_after_s(answer))
    if ran == RAN:
        return BackendError(BackendErrorKind.FAILED, detail)
    return BackendError(BackendErrorKind.LOST, detail)


def malformed(name: str, error: Exception) -> BackendError:
    """Return the error for an answer that can't be read: the call may have run."""
    detail = f"{name}: malformed answer: {type(error).__name__}: {error}"
    return BackendError(BackendErrorKind.LOST, detail)


def _error_object(body: bytes) -> dict[str, str]:
    try:
        error = json.loads(body)["error"]
        return {key: value for key, value in error.items() if isinstance(value, str)}
    except (AttributeError, KeyError, TypeError, ValueError):
        return {}


def _retry_after_s(answer: HttpResponse) -> float:
    try:
        return max(0.0, float(answer.headers.get("retry-after", "0")))
    except ValueError:
        return 0.0
