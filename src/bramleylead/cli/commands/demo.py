"""``bramleylead demo``: both users' fleets in one process, with faults on the way."""

from __future__ import annotations

import logging
import sys
import time
from pathlib import Path

import anyio
from absl import flags

import bramleylead
from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.logs import configure_logs
from bramleylead.trials._demo import PROGRAMS
from bramleylead.trials._demo import DemoSettings
from bramleylead.trials._demo import run_demo
from bramleylead.trials._demo_table import figures
from bramleylead.trials._demo_table import table
from bramleylead.trials._demo_table import troubles

EXAMPLES = Path(bramleylead.__file__).parents[2] / "examples"


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "examples", "", "Folder with the users' folders; empty: the source's.", flag_values=values
    )
    flags.DEFINE_integer(
        "programs", PROGRAMS, "Programs to run.", lower_bound=1, flag_values=values
    )
    flags.DEFINE_integer("seed", 1, "Seed of the programs.", flag_values=values)
    flags.DEFINE_boolean("verbose", False, "Show the nodes' warnings.", flag_values=values)


@command(
    "demo",
    summary="Runs both users' fleets in one process, with 120 programs and faults on the way.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Run the demo; its last line holds the figures."""
    examples = Path(values.examples) if values.examples else EXAMPLES
    if not examples.is_dir():
        print(f"demo: --examples: {examples}: must be a folder", file=sys.stderr)
        return ExitCode.USAGE
    configure_logs("console", level=logging.WARNING if values.verbose else logging.CRITICAL)
    started_s = time.monotonic()

    def say(line: str) -> None:
        print(f"{time.monotonic() - started_s:5.1f} s  {line}", flush=True)

    settings = DemoSettings(examples, values.programs, values.seed)
    runs = anyio.run(run_demo, settings, say, backend="asyncio")
    for line in (*table(runs), *troubles(runs)):
        print(line)
    found = figures(runs)
    print(found.line(), flush=True)
    return ExitCode.OK if found.good else ExitCode.FAILED
