"""The story of one request, from the log lines of several processes."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from datetime import datetime
from typing import Any
from typing import NamedTuple

BELIEFS = frozenset(
    {
        "configuration_in_force",
        "configuration_unreadable",
        "gateway_serving",
        "gateway_stopping",
        "history_gone",
        "ledger_members_changed",
        "log_lines_dropped",
        "log_lines_suppressed",
        "member_silent",
        "replica_added",
        "replica_changed",
        "replica_gone",
        "replica_missing",
        "settings_changed",
        "store_lost",
        "store_regained",
    }
)
BEFORE_S = 10.0
HIDDEN_FIELDS = ("timestamp", "event", "level", "node", "request", "program")


class Line(NamedTuple):
    """One readable line: when, who, what, and the other fields."""

    at_s: float
    node: str
    event: str
    fields: dict[str, Any]


class Lines(NamedTuple):
    """The readable lines of some files, and how many could not be read, by file."""

    lines: list[Line]
    damaged: Counter[str]


def read_lines(texts: Iterable[tuple[str, Iterable[str]]]) -> Lines:
    """Read the lines of named texts; what stands before a line's JSON is passed over."""
    lines = []
    damaged: Counter[str] = Counter()
    for name, text in texts:
        for raw in text:
            line = _read(raw)
            if line is not None:
                lines.append(line)
            elif "{" in raw:
                damaged[name] += 1
    return Lines(sorted(lines, key=lambda line: line.at_s), damaged)


def tell(found: Lines, request: str) -> Iterator[str]:
    """Yield the story of a request, a line each."""
    own = [line for line in found.lines if line.fields.get("request") == request]
    for name, count in found.damaged.items():
        yield f"{name}: {count} lines could not be read"
    if not own:
        yield f"request {request}: no line names it"
        return
    program = next((p for line in own if (p := line.fields.get("program"))), "")
    nodes = {line.node for line in own}
    start = own[0].at_s
    yield f"request {request}, program {program or '-'}, on {', '.join(sorted(nodes))}"
    yield f"it began at {datetime.fromtimestamp(start).isoformat()}"
    yield "what these processes had come to believe shortly before and meanwhile:"
    beliefs = list(_beliefs(found.lines, nodes, start, own[-1].at_s))
    yield from (_told(line, start) for line in beliefs)
    if not beliefs:
        yield "  nothing new"
    yield "the request:"
    yield from (_told(line, start) for line in own)
    if program:
        yield from _tell_program(found.lines, program, request, start)
    if own[-1].event not in ("answered", "refused", "broken_off", "caller_gone"):
        yield "the lines end before the request does: its process ended, or lines are missing"


def _tell_program(lines: list[Line], program: str, request: str, start: float) -> Iterator[str]:
    yield "how the program's other requests ended:"
    for line in lines:
        other = line.fields.get("request") != request
        ends = line.event in ("answered", "refused", "broken_off", "stream_given_up")
        if line.fields.get("program") == program and other and ends:
            yield _told(line, start, request=line.fields.get("request"))


def _beliefs(lines: list[Line], nodes: set[str], start: float, end: float) -> Iterator[Line]:
    for line in lines:
        if line.event in BELIEFS and line.node in nodes and start - BEFORE_S <= line.at_s <= end:
            yield line


def _told(line: Line, start: float, **more: Any) -> str:
    shown = {key: value for key, value in line.fields.items() if key not in HIDDEN_FIELDS}
    text = ", ".join(f"{key}={value}" for key, value in {**more, **shown}.items())
    return f"  {line.at_s - start:+9.3f} s  {line.node}  {line.event}: {text}"


def _read(raw: str) -> Line | None:
    begin = raw.find("{")
    if begin < 0:
        return None
    try:
        fields = json.loads(raw[begin:])
        at_s = datetime.fromisoformat(fields["timestamp"]).timestamp()
        return Line(at_s, str(fields.get("node", "?")), str(fields["event"]), fields)
    except (ValueError, KeyError, TypeError):
        return None
