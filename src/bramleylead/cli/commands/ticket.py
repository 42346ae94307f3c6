"""``bramleylead ticket``: submits, awaits, lists and shows change tickets."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from absl import flags
from result import Err
from result import Ok
from result import Result

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._operator import OperatorClient
from bramleylead.cli._operator import Trouble
from bramleylead.cli._operator import define_key_flag
from bramleylead.cli._operator import read_key
from bramleylead.cli._registry import command
from bramleylead.version import parse_ticket

DEFAULT_ADDRESS = "127.0.0.1:8001"
POLL_INTERVAL_S = 0.25
IN_FORCE = "in force"

Action = Callable[[flags.FlagValues, OperatorClient, str], Result[None, Trouble]]

ACTIONS: dict[str, tuple[Action, str]] = {}


def _action(name: str, argument: str = "") -> Callable[[Action], Action]:
    def register(function: Action) -> Action:
        ACTIONS[name] = (function, argument)
        return function

    return register


def _define_flags(values: flags.FlagValues) -> None:
    define_key_flag(values)
    flags.DEFINE_string(
        "address", DEFAULT_ADDRESS, "IP:PORT of any node's HTTP listener.", flag_values=values
    )
    flags.DEFINE_boolean(
        "wait", False, "With submit: wait until it is in force everywhere.", flag_values=values
    )
    flags.DEFINE_float(
        "timeout_s", 30.0, "How long to wait, in seconds.", lower_bound=0.0, flag_values=values
    )


@command(
    "ticket",
    usage="submit FILE | wait NUMBER | status NUMBER | show NUMBER | list",
    summary="Submits a change ticket, waits for it, lists and shows tickets.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Run one action against one node."""
    trouble = _run_action(values, words)
    if isinstance(trouble, Ok):
        return ExitCode.OK
    print(trouble.err_value.line, file=sys.stderr)
    return trouble.err_value.code


def _run_action(values: flags.FlagValues, words: list[str]) -> Result[None, Trouble]:
    name = words[0] if words else ""
    if name not in ACTIONS:
        return _misused(f"{name or 'action'}: must be one of {', '.join(ACTIONS)}")
    function, argument = ACTIONS[name]
    if len(words) != (2 if argument else 1):
        return _misused(f"{name}: must be followed by {argument or 'nothing'}")
    if argument == "NUMBER" and not words[1].isdecimal():
        return _misused(f"{name} {words[1]}: must be a ticket number")
    key = read_key(values)
    if isinstance(key, Err):
        return key
    with OperatorClient(values.address, key.ok_value) as client:
        return function(values, client, words[-1])


@_action("submit", "FILE")
def _submit(values: flags.FlagValues, client: OperatorClient, name: str) -> Result[None, Trouble]:
    """Check the file's form here, so that its faults are named also without a node."""
    try:
        body = Path(name).read_bytes()
    except OSError as error:
        return Err(Trouble(ExitCode.INVALID, f"{name}: must be readable: {error.strerror}"))
    parsed = parse_ticket(body)
    if isinstance(parsed, Err):
        lines = "\n".join(f"{name}: {fault}" for fault in parsed.err_value)
        return Err(Trouble(ExitCode.INVALID, lines))
    accepted = client.request("POST", "/v1/tickets", body)
    if isinstance(accepted, Err):
        return accepted
    number = accepted.ok_value["number"]
    repeated = " before, with the same body" if accepted.ok_value["repeated"] else ""
    print(f"ticket {number}: accepted{repeated}")
    return _wait(values, client, str(number)) if values.wait else Ok(None)


@_action("wait", "NUMBER")
def _wait(values: flags.FlagValues, client: OperatorClient, number: str) -> Result[None, Trouble]:
    """Ask until every node has it; what may pass is asked again."""
    until_s = time.monotonic() + values.timeout_s
    while True:
        status = client.request("GET", f"/v1/tickets/{number}/status")
        if isinstance(status, Ok) and status.ok_value["state"] == IN_FORCE:
            print(f"ticket {number}: in force on {len(status.ok_value['nodes'])} nodes")
            return Ok(None)
        if isinstance(status, Err) and not status.err_value.may_pass:
            return status
        if time.monotonic() >= until_s:
            return Err(Trouble(ExitCode.UNREACHABLE, _late(number, values.timeout_s, status)))
        time.sleep(POLL_INTERVAL_S)


@_action("status", "NUMBER")
def _status(values: flags.FlagValues, client: OperatorClient, number: str) -> Result[None, Trouble]:
    status = client.request("GET", f"/v1/tickets/{number}/status")
    if isinstance(status, Err):
        return status
    found = status.ok_value
    print(f"ticket {number}: {found['state']}")
    for node in found["nodes"]:
        print(f"  {node['node']}: number {node['number']}, said {node['age_s']:.1f} s ago")
    for name in found["missing"]:
        print(f"  {name}: has not shown that it has it")
    return Ok(None)


@_action("show", "NUMBER")
def _show(values: flags.FlagValues, client: OperatorClient, number: str) -> Result[None, Trouble]:
    found = client.request("GET", f"/v1/tickets/{number}")
    return found.map(lambda document: _print_json(document["ticket"]))


@_action("list")
def _list(values: flags.FlagValues, client: OperatorClient, _: str) -> Result[None, Trouble]:
    found = client.request("GET", "/v1/tickets")
    if isinstance(found, Err):
        return found
    for ticket in found.ok_value["tickets"]:
        print(f"{ticket['number']:>6}  {ticket['author']}  {ticket['note']}".rstrip())
    return Ok(None)


def _late(number: str, timeout_s: float, status: Result[dict[str, Any], Trouble]) -> str:
    if isinstance(status, Err):
        return f"ticket {number}: not known after {timeout_s:g} s: {status.err_value.line}"
    missing = ", ".join(status.ok_value["missing"]) or "(none named)"
    state = status.ok_value["state"]
    return f"ticket {number}: {state} after {timeout_s:g} s; without it: {missing}"


def _misused(line: str) -> Result[None, Trouble]:
    return Err(Trouble(ExitCode.USAGE, f"ticket: {line}"))


def _print_json(document: Any) -> None:
    print(json.dumps(document, indent=2))
