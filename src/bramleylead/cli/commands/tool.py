"""``bramleylead tool``: a stand-in for a plain service."""

from __future__ import annotations

import random
import sys

from absl import flags
from result import Err

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.cli._stand_in import define_address_flag
from bramleylead.cli._stand_in import load_file
from bramleylead.cli._stand_in import serve_until_signal
from bramleylead.standins import FakeService
from bramleylead.standins import ToolModel
from bramleylead.standins import serve_tool

DEFAULT_ADDRESS = "127.0.0.1:8300"


def _define_flags(values: flags.FlagValues) -> None:
    define_address_flag(values, DEFAULT_ADDRESS)
    flags.DEFINE_string("name", "tool", "Its name in messages.", flag_values=values)
    flags.DEFINE_list("tools", [], "Names of the tools it has.", flag_values=values)
    flags.DEFINE_string(
        "behaviour", "", "JSON file with durations and faults; empty: defaults.", flag_values=values
    )
    flags.DEFINE_boolean("checks_fence", False, "Refuse an old fencing number.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of its random faults.", flag_values=values)


@command("tool", summary="Serves a stand-in for a plain service.", define_flags=_define_flags)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Serve until a signal."""
    if not values.tools:
        print("tool: --tools must name at least one tool", file=sys.stderr)
        return ExitCode.USAGE
    loaded = load_file(ToolModel, values.behaviour)
    if isinstance(loaded, Err):
        print("\n".join(f"tool: {line}" for line in loaded.err_value), file=sys.stderr)
        return ExitCode.INVALID
    service = FakeService(
        values.name,
        dict.fromkeys(values.tools, loaded.ok_value),
        rng=random.Random(values.seed),
        checks_fence=values.checks_fence,
    )
    return serve_until_signal("tool", values.address, lambda address: serve_tool(service, address))
