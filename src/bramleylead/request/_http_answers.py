"""What every answer over HTTP carries: error kind, status, whether it ran, when to retry."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass
from typing import Any

from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.request._exchange import HeaderList

NO_ERROR = "none"
JSON_TYPE = "application/json"

_ENCODER = json.JSONEncoder(ensure_ascii=False, separators=(",", ":"))


@dataclass(slots=True)
class CallPlace:
    """Which call an answer belongs to; number and incarnation are 0 while unknown."""

    program: str = ""
    number: int = 0
    incarnation: int = 0


def encode_json(value: Any) -> bytes:
    """Return compact JSON."""
    return _ENCODER.encode(value).encode()


def success_headers(place: CallPlace, *, ran: Ran = Ran.RAN) -> HeaderList:
    """Return the headers of an answer that is no refusal."""
    return [
        ("Bramleylead-Error-Kind", NO_ERROR),
        ("Bramleylead-Ran", ran.value),
        *_place_headers(place),
    ]


def failure_headers(failure: Failure, place: CallPlace) -> HeaderList:
    """Return the headers of a refusal or failure."""
    answer = failure.answer
    headers = [
        ("Bramleylead-Error-Kind", failure.kind.value),
        ("Bramleylead-Ran", answer.ran.value),
        *_place_headers(place),
    ]
    if answer.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(answer.retry_after_s))))
        headers.append(("Bramleylead-Retry-After-S", f"{answer.retry_after_s:g}"))
    return headers


def success_fields(place: CallPlace, *, status: int = 200, ran: Ran = Ran.RAN) -> dict[str, Any]:
    """Return the same facts for the body of an answer that is no refusal."""
    return {
        "error_kind": NO_ERROR,
        "status": status,
        "ran": ran.value,
        "retry_after_s": None,
        "program": place.program,
        "call": place.number,
        "incarnation": place.incarnation,
    }


def failure_body(failure: Failure, place: CallPlace) -> dict[str, Any]:
    """Return the body of a refusal or failure; chat-completions clients show its message."""
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
            "program": place.program,
            "call": place.number,
            "incarnation": place.incarnation,
        }
    }


def _place_headers(place: CallPlace) -> HeaderList:
    headers: HeaderList = []
    if place.program:
        headers.append(("Bramleylead-Program", place.program))
    if place.number:
        headers.append(("Bramleylead-Call", str(place.number)))
    if place.incarnation:
        headers.append(("Bramleylead-Incarnation", str(place.incarnation)))
    return headers
