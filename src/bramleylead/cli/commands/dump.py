"""``bramleylead dump``: prints the state of one node."""

from __future__ import annotations

import json
import sys

from absl import flags
from result import Err

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._operator import OperatorClient
from bramleylead.cli._operator import define_key_flag
from bramleylead.cli._operator import read_key
from bramleylead.cli._registry import command


@command(
    "dump",
    usage="ADDRESS",
    summary="Prints a node's whole state as JSON, secrets left out.",
    define_flags=define_key_flag,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Print the dump of the node whose HTTP listener is at ``IP:PORT``."""
    if len(words) != 1:
        print("dump: one ADDRESS must be given, as IP:PORT", file=sys.stderr)
        return ExitCode.USAGE
    key = read_key(values)
    if isinstance(key, Err):
        print(key.err_value.line, file=sys.stderr)
        return key.err_value.code
    with OperatorClient(words[0], key.ok_value) as client:
        state = client.request("GET", "/dump")
    if isinstance(state, Err):
        print(state.err_value.line, file=sys.stderr)
        return state.err_value.code
    print(json.dumps(state.ok_value, indent=2))
    return ExitCode.OK
