"""``bramleylead dump``: prints the state of one node, or what the fleet knows of one call."""

from __future__ import annotations

import json
import re
import sys
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

CALL_PATTERN = r"[^/]+/[0-9]{1,9}"


def _define_flags(values: flags.FlagValues) -> None:
    define_key_flag(values)
    flags.DEFINE_string(
        "call",
        "",
        "PROGRAM/NUMBER: show in place of the state what each member that the node knows can tell "
        "about this call, and why it went where it went.",
        flag_values=values,
    )


@command(
    "dump",
    usage="ADDRESS",
    summary="Prints a node's whole state as JSON, secrets left out, or explains one call.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Print the dump of the node whose HTTP listener is at ``IP:PORT``."""
    if len(words) != 1:
        print("dump: one ADDRESS must be given, as IP:PORT", file=sys.stderr)
        return ExitCode.USAGE
    if values.call and not re.fullmatch(CALL_PATTERN, values.call):
        print(f"dump: --call: {values.call}: must be PROGRAM/NUMBER", file=sys.stderr)
        return ExitCode.USAGE
    key = read_key(values)
    if isinstance(key, Err):
        print(key.err_value.line, file=sys.stderr)
        return key.err_value.code
    found = _ask(words[0], key.ok_value, "/dump")
    if isinstance(found, Ok) and values.call:
        found = _explain(values.call, found.ok_value, key.ok_value)
    if isinstance(found, Err):
        print(found.err_value.line, file=sys.stderr)
        return found.err_value.code
    print(json.dumps(found.ok_value, indent=2))
    return ExitCode.OK


def _ask(address: str, key: str, path: str) -> Result[dict[str, Any], Trouble]:
    with OperatorClient(address, key) as client:
        return client.request("GET", path)


def _explain(call: str, state: dict[str, Any], key: str) -> Result[dict[str, Any], Trouble]:
    """Ask every member; the owner knows the call's record, the dispatcher its decisions."""
    nodes: dict[str, Any] = {}
    for member in state["members"]:
        told = _ask(member["http_address"], key, f"/dump/calls/{call}")
        nodes[member["node"]] = told.ok_value if isinstance(told, Ok) else told.err_value.line
    return Ok({"call": call, "nodes": nodes})
