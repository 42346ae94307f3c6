"""Conversion between HTTP headers and the gateway's types for requests and answers."""

from __future__ import annotations

import math
from collections.abc import Mapping

import structlog

from bramleylead.platform import _names as names
from bramleylead.platform._types import CallMetadata
from bramleylead.platform._types import Load
from bramleylead.platform._types import PromptPart
from bramleylead.platform._types import ResponseMetadata

MS_PER_S = 1000.0
MAX_NUMBER = 10**15
"""Messages between nodes carry 64 bits, and a float counts exactly up to 2**53."""
MAX_DIGITS = 15
MAX_SHOWN_CHARS = 40
USUAL_SLOWDOWN = 100
"""What replicas report while work takes its usual time."""

log = structlog.get_logger()

Headers = list[tuple[str, str]]


class HeaderError(ValueError):
    """A number in a caller's header is outside of the permitted range."""


def read_call(headers: Mapping[str, str]) -> CallMetadata:
    """Parse the headers of a caller's request; header names are in lower case.

    :raises HeaderError: if a number is too large or not finite.
    """
    prompt_tokens, most_tokens = _parse_token_usage(headers.get(names.TOKEN_USAGE, ""))
    budget = _parse_number(headers, names.TOKEN_BUDGET)
    return CallMetadata(
        request_id=headers.get(names.REQUEST_ID, ""),
        deadline_s=_parse_seconds(headers, names.DEADLINE_MS),
        program=headers.get(names.PROGRAM_ID, ""),
        session=headers.get(names.SESSION_ID, ""),
        finish_s=_parse_seconds(headers, names.FINISH_MS),
        budget_tokens=None if budget is None else int(budget),
        prompt_tokens=prompt_tokens,
        max_output_tokens=most_tokens,
        previous_turn=headers.get(names.PREVIOUS_TURN, ""),
        resume_after=headers.get(names.LAST_EVENT_ID, ""),
        prompt=_parse_prompt(headers.get(names.PROMPT_PREFIX, "")),
        affinity=headers.get(names.AFFINITY_KEY, ""),
        resumed_request=headers.get(names.RESUMES, ""),
    )


def read_identity(headers: Mapping[str, str]) -> CallMetadata:
    """Parse only the request's id and program, of a request whose other headers are invalid."""
    return read_call({name: headers.get(name, "") for name in (names.REQUEST_ID, names.PROGRAM_ID)})


def request_headers(
    received: Headers,
    *,
    remaining_s: float,
    replica: str,
    resume_after: str,
    body_bytes: int,
    customer: str = "",
) -> Headers:
    """Return the headers of a request to be sent to a replica.

    :param received: the caller's headers, names in lower case.
    :param remaining_s: the time remaining for the replica.
    :param replica: the only replica that may run the request.
    :param resume_after: the last event that the caller received; empty to start from the first.
    :param customer: the name of the customer who has the caller's key; empty without one.
    """
    connection_options = _connection_options(received)
    end_to_end = [
        (name, value)
        for name, value in received
        if name not in names.HOP_HEADERS
        and name not in names.GATEWAY_HEADERS
        and name not in connection_options
    ]
    host = next((value for name, value in received if name == "host"), "")
    headers = [("host", host), *end_to_end]
    headers.append((names.DEADLINE_MS, str(max(1, int(remaining_s * MS_PER_S)))))
    headers.append((names.EXPECT_INSTANCE, replica))
    if customer:
        headers.append((names.TENANT, customer))
    if resume_after:
        headers.append((names.LAST_EVENT_ID, resume_after))
    if body_bytes or any(name in ("content-length", "transfer-encoding") for name, _ in received):
        headers.append(("content-length", str(body_bytes)))
    return headers


def read_answer(headers: Mapping[str, str]) -> ResponseMetadata:
    """Parse the headers of a replica's answer; header names are in lower case."""
    return ResponseMetadata(
        request_id=headers.get(names.REQUEST_ID, ""),
        signed=names.SERVER_STAMP in headers,
        not_run=names.NOT_RUN in headers,
        encoded=headers.get("content-encoding", "identity") != "identity",
        load=_parse_load(headers.get(names.SERVER_LOAD, "")),
        keep_alive_s=_parse_keep_alive_s(headers.get("keep-alive", "")),
        leaving=headers.get(names.SERVER_LEAVING, "").strip() == names.LEAVING,
        limit_per_s=_parse_rate(headers),
    )


def answer_headers(received: Headers) -> Headers:
    """Return the headers of a replica's answer to be sent to the caller."""
    connection_options = _connection_options(received)
    return [
        (name, value)
        for name, value in received
        if name not in names.HOP_HEADERS and name not in connection_options
    ]


def retry_headers(request: str, retry_after_s: float | None) -> Headers:
    """Return the headers of a refusal by the gateway itself."""
    headers = [(names.REQUEST_ID, request)] if request else []
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, f"{retry_after_s:.3f}"))
    return headers


def _connection_options(headers: Headers) -> set[str]:
    found: set[str] = set()
    for name, value in headers:
        if name == "connection":
            found |= {option.strip().lower() for option in value.split(",")}
    return found


def _parse_number(headers: Mapping[str, str], name: str) -> float | None:
    """Parse a number; ``None`` if there is none.

    :raises HeaderError: if it is too large or not finite.
    """
    text = headers.get(name, "")
    if not text:
        return None
    try:
        number = float(text)
    except ValueError:
        log.warning("header_unreadable", header=name, value=text[:MAX_SHOWN_CHARS])
        return None
    if not math.isfinite(number) or abs(number) > MAX_NUMBER:
        raise _out_of_range(name, text)
    return number


def _parse_seconds(headers: Mapping[str, str], name: str) -> float | None:
    number = _parse_number(headers, name)
    return None if number is None else number / MS_PER_S


def _out_of_range(name: str, text: str) -> HeaderError:
    shown = text[:MAX_SHOWN_CHARS]
    return HeaderError(f"header {name}: {shown!r}: must be a number of at most {MAX_NUMBER}")


def _parse_token_usage(text: str) -> tuple[int, int]:
    """Parse the number of prompt tokens and the maximum of output tokens; 0 if missing."""
    prompt, _, output = text.partition(",")
    return _parse_count(names.TOKEN_USAGE, prompt), _parse_count(names.TOKEN_USAGE, output)


def _is_digits(text: str) -> bool:
    """Return whether a text is a number to ``int``; ``str.isdigit`` accepts superscripts too."""
    return text.isascii() and text.isdigit()


def _parse_count(name: str, text: str) -> int:
    """Parse a number of tokens; 0 if there is none.

    :raises HeaderError: if it is too large.
    """
    text = text.strip()
    if not _is_digits(text):
        return 0
    if len(text) > MAX_DIGITS:
        raise _out_of_range(name, text)
    return int(text)


def _parse_prompt(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in text.split(",") if text else ():
        name, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(name, _parse_count(names.PROMPT_PREFIX, tokens)))
    return tuple(parts)


def _parse_load(text: str) -> Load | None:
    """Parse a replica's load; ``None`` unless its first three figures are valid.

    Later versions of replicas may add figures, which are ignored.
    """
    figures = [part.strip() for part in text.split(",", 4)]
    numbers = figures[:3]
    if len(numbers) < 3 or not all(map(_is_digits, numbers)):
        return None
    if any(len(number) > MAX_DIGITS for number in numbers):
        return None
    running, waiting, slots = map(int, numbers)
    return Load(running, waiting, slots, _parse_slowdown(figures[3]) if figures[3:] else None)


def _parse_slowdown(text: str) -> float | None:
    """Parse how long work takes in percent of the usual time; ``None`` if that is no figure."""
    if not _is_digits(text) or len(text) > MAX_DIGITS:
        return None
    return int(text) / USUAL_SLOWDOWN if int(text) else None


def _parse_rate(headers: Mapping[str, str]) -> float | None:
    """Parse a replica's limit; ``None`` if it names none or no rate."""
    try:
        rate = _parse_number(headers, names.SERVER_LIMIT)
    except HeaderError:
        return None
    return rate if rate is not None and rate >= 0.0 else None


def _parse_keep_alive_s(text: str) -> float | None:
    for option in text.split(","):
        name, _, value = option.strip().partition("=")
        if name.lower() == "timeout" and _is_digits(value.strip()):
            return float(value.strip()[:MAX_DIGITS])
    return None
