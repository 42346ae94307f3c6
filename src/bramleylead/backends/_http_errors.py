"""Maps failed HTTP requests to ``BackendError``; see ``docs/endpoints.md``."""

from __future__ import annotations

from bramleylead.backends._types import BackendError
from bramleylead.backends._types import BackendErrorKind
from bramleylead.connection._http_client import HttpFailure
from bramleylead.connection._http_client import HttpResponse
from bramleylead.json_input import decode_json

RAN_HEADER = "x-ran"
NOT_RUN = "not run"
RAN = "ran"
STALE_FENCE = "stale_fence"
TOO_MANY_REQUESTS = 429
MAX_BODY_EXCERPT_BYTES = 300


def error_without_response(failure: HttpFailure) -> BackendError:
    """Return the error for a request that got no complete response."""
    kind = BackendErrorKind.LOST if failure.sent else BackendErrorKind.NOT_SENT
    return BackendError(kind, failure.detail)


def error_from_response(name: str, response: HttpResponse) -> BackendError:
    """Return the error for a response with a status other than 200.

    The call counts as not run, or as run and failed, only if the response says so explicitly; in
    all other cases it may have run.
    """
    body_excerpt = response.body[:MAX_BODY_EXCERPT_BYTES].decode(errors="replace")
    detail = f"{name}: HTTP {response.status}: {body_excerpt}"
    error = _error_object(response.body)
    ran = response.headers.get(RAN_HEADER, error.get("ran", ""))
    if error.get("kind") == STALE_FENCE:
        return BackendError(BackendErrorKind.STALE_FENCE, detail)
    if ran == NOT_RUN or response.status == TOO_MANY_REQUESTS:
        return BackendError(BackendErrorKind.REFUSED, detail, _retry_after_s(response))
    if ran == RAN:
        return BackendError(BackendErrorKind.FAILED, detail)
    return BackendError(BackendErrorKind.LOST, detail)


def malformed_response_error(name: str, error: Exception) -> BackendError:
    """Return the error for a response that can't be parsed; the call may have run."""
    detail = f"{name}: malformed answer: {type(error).__name__}: {error}"
    return BackendError(BackendErrorKind.LOST, detail)


def _error_object(body: bytes) -> dict[str, str]:
    try:
        error = decode_json(body)["error"]
        return {key: value for key, value in error.items() if isinstance(value, str)}
    except (AttributeError, KeyError, TypeError, ValueError):
        return {}


def _retry_after_s(response: HttpResponse) -> float:
    try:
        return max(0.0, float(response.headers.get("retry-after", "0")))
    except ValueError:
        return 0.0
