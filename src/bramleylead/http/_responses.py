"""Headers and fields of every HTTP response: error kind, status, whether it ran, when to retry."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.http._exchange import HeaderList

NO_ERROR = "none"
JSON_TYPE = "application/json"

_ENCODER = json.JSONEncoder(ensure_ascii=False, separators=(",", ":"))


@dataclass(slots=True)
class CallRef:
    """The call that a response belongs to; number and incarnation are 0 while unknown."""

    program: str = ""
    number: int = 0
    incarnation: int = 0


def encode_json(value: Any) -> bytes:
    """Return compact JSON."""
    return _ENCODER.encode(value).encode()


def success_headers(call_ref: CallRef, *, ran: Ran = Ran.RAN) -> HeaderList:
    """Return the headers of a successful response."""
    return [
        ("Bramleylead-Error-Kind", NO_ERROR),
        ("Bramleylead-Ran", ran.value),
        *_call_headers(call_ref),
    ]


def failure_headers(failure: Failure, call_ref: CallRef) -> HeaderList:
    """Return the headers of an error response."""
    answer = failure.answer
    headers = [
        ("Bramleylead-Error-Kind", failure.kind.value),
        ("Bramleylead-Ran", answer.ran.value),
        *_call_headers(call_ref),
    ]
    if answer.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(answer.retry_after_s))))
        headers.append(("Bramleylead-Retry-After-S", f"{answer.retry_after_s:g}"))
    return headers


def success_fields(call_ref: CallRef, *, status: int = 200, ran: Ran = Ran.RAN) -> dict[str, Any]:
    """Return the ``bramleylead`` object in the body of a successful response."""
    return {
        "error_kind": NO_ERROR,
        "status": status,
        "ran": ran.value,
        "retry_after_s": None,
        "program": call_ref.program,
        "call": call_ref.number,
        "incarnation": call_ref.incarnation,
    }


def failure_body(failure: Failure, call_ref: CallRef) -> dict[str, Any]:
    """Return the body of an error response; chat-completions clients show its ``message``."""
    answer = failure.answer
    return {
        "error": {
            "message": f"{failure.detail} ({answer.advice})",
            "type": failure.kind.value,
            "code": failure.kind.value,
            "error_kind": failure.kind.value,
            "status": answer.status,
            "ran": answer.ran.value,
            "retry_after_s": answer.retry_after_s,
            "detail": failure.detail,
            "advice": answer.advice,
            "program": call_ref.program,
            "call": call_ref.number,
            "incarnation": call_ref.incarnation,
        }
    }


def _call_headers(call_ref: CallRef) -> HeaderList:
    headers: HeaderList = []
    if call_ref.program:
        headers.append(("Bramleylead-Program", call_ref.program))
    if call_ref.number:
        headers.append(("Bramleylead-Call", str(call_ref.number)))
    if call_ref.incarnation:
        headers.append(("Bramleylead-Incarnation", str(call_ref.incarnation)))
    return headers
