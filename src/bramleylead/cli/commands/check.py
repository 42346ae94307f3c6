"""``bramleylead check``: checks settings and ticket files without starting anything."""

from __future__ import annotations

import sys
from pathlib import Path

from absl import flags
from result import Err
from result import Ok

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.json_documents import Fault
from bramleylead.json_input import decode_json
from bramleylead.node_settings import NodeSettings
from bramleylead.process._settings_file import check_together
from bramleylead.process._settings_file import load_settings
from bramleylead.version import Config
from bramleylead.version import Ticket
from bramleylead.version import apply_ticket
from bramleylead.version import check_ticket
from bramleylead.version import parse_ticket

KINDS = ("auto", "settings", "ticket")


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_enum(
        "kind",
        "auto",
        KINDS,
        "What the files are; auto takes a document with a number for a ticket.",
        flag_values=values,
    )


@command(
    "check",
    usage="FILE...",
    summary="Checks settings and ticket files without starting anything.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Check each file, settings also against each other, and tickets in number order."""
    if not words:
        print("check: at least one FILE must be given", file=sys.stderr)
        return ExitCode.USAGE
    tickets = [name for name in words if _is_ticket(Path(name), values.kind)]
    settings = [name for name in words if name not in tickets]
    lines = [*_check_settings(settings), *_check_tickets(tickets)]
    for line in lines:
        print(line, file=sys.stderr)
    if lines:
        return ExitCode.INVALID
    print(f"{len(settings)} settings files and {len(tickets)} tickets are good")
    return ExitCode.OK


def _is_ticket(path: Path, kind: str) -> bool:
    if kind != "auto":
        return kind == "ticket"
    try:
        document = decode_json(path.read_bytes())
    except (OSError, ValueError):
        return False
    return isinstance(document, dict) and "number" in document and "node" not in document


def _check_settings(names: list[str]) -> list[str]:
    lines: list[str] = []
    good: dict[str, NodeSettings] = {}
    for name in names:
        loaded = load_settings(Path(name))
        if isinstance(loaded, Ok):
            good[name] = loaded.ok_value
        else:
            lines += _worded(name, loaded.err_value)
    return lines + [str(fault) for fault in check_together(good)]


def _check_tickets(names: list[str]) -> list[str]:
    lines: list[str] = []
    good: list[tuple[int, str, Ticket]] = []
    for name in names:
        try:
            parsed = parse_ticket(Path(name).read_bytes())
        except OSError as error:
            lines.append(f"{name}: (file): must be readable: {error.strerror}")
            continue
        if isinstance(parsed, Err):
            lines += _worded(name, parsed.err_value)
        else:
            good.append((parsed.ok_value.number, name, parsed.ok_value))
    return lines + _check_in_order(sorted(good, key=lambda item: item[0]))


def _check_in_order(tickets: list[tuple[int, str, Ticket]]) -> list[str]:
    """Check sense from ticket 1 up; after a gap only the form can be checked."""
    lines: list[str] = []
    config = Config()
    for number, name, ticket in tickets:
        if number != config.number + 1:
            print(f"{name}: only its form is checked: ticket {config.number + 1} is not given")
            break
        lines += _worded(name, check_ticket(config, ticket))
        config = apply_ticket(config, ticket)
    return lines


def _worded(name: str, faults: tuple[Fault, ...]) -> list[str]:
    return [f"{name}: {fault}" for fault in faults]
