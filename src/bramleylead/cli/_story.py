"""The story of one request, from the log lines of several processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from datetime import datetime
from typing import Any
from typing import NamedTuple

from bramleylead.json_input import decode_json

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
        "settings_changed",
        "source_changed",
        "store_lost",
        "store_regained",
        "store_silent",
        "watch_missed_change",
    }
)
REPLICA_BELIEFS = frozenset(
    {
        "replica_added",
        "replica_changed",
        "replica_gone",
        "replica_missing",
        "replica_put_aside",
        "replica_trusted",
        "replica_unreadable",
    }
)
LEDGER_BELIEFS = frozenset(
    {
        "disk_damaged",
        "disk_unreadable",
        "disk_write_failed",
        "last_run_ended",
        "ledger_loaded",
        "ledger_lost",
        "ledger_stopping",
        "member_silent",
        "retirement_wanted",
        "segment_torn",
    }
)
"""Told of every process: any of them may hold up a turn or a budget."""
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
    yield from _tell_beliefs(found.lines, own)
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


def _tell_beliefs(lines: list[Line], own: list[Line]) -> Iterator[str]:
    """Yield what the request's processes came to believe; of replicas only those that it met."""
    nodes = {line.node for line in own}
    met = {line.fields.get("replica") for line in own}
    start, end = own[0].at_s, own[-1].at_s
    recent = [line for line in lines if start - BEFORE_S <= line.at_s <= end]
    shown = [line for line in recent if _concerns(line, nodes, met)]
    yield from (_told(line, start) for line in shown)
    others = sum(line.event in REPLICA_BELIEFS and line.node in nodes for line in recent)
    others -= sum(line.event in REPLICA_BELIEFS for line in shown)
    if others:
        yield f"  and {others} changes of replicas that it did not meet"
    if not shown and not others:
        yield "  nothing new"


def _concerns(line: Line, nodes: set[str], met: set[Any]) -> bool:
    """Whether a line shows what may have decided a request's way."""
    if line.event in LEDGER_BELIEFS:
        return True
    if line.node not in nodes:
        return False
    if line.event in REPLICA_BELIEFS:
        return line.fields.get("replica") in met
    return line.event in BELIEFS


def _told(line: Line, start: float, **more: Any) -> str:
    shown = {key: value for key, value in line.fields.items() if key not in HIDDEN_FIELDS}
    text = ", ".join(f"{key}={value}" for key, value in {**more, **shown}.items())
    return f"  {line.at_s - start:+9.3f} s  {line.node}  {line.event}: {text}"


def _read(raw: str) -> Line | None:
    begin = raw.find("{")
    if begin < 0:
        return None
    try:
        fields = decode_json(raw[begin:])
        at_s = datetime.fromisoformat(fields["timestamp"]).timestamp()
        return Line(at_s, str(fields.get("node", "?")), str(fields["event"]), fields)
    except (ValueError, KeyError, TypeError):
        return None
