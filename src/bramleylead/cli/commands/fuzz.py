"""``bramleylead fuzz``: odd input for a gateway and a ledger node, beside sound requests."""

from __future__ import annotations

import logging
from pathlib import Path

import anyio
from absl import flags

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.logs import configure_logs
from bramleylead.trials.fuzz._cases import TargetKind
from bramleylead.trials.fuzz._cases import read_case
from bramleylead.trials.fuzz._run import FuzzSettings
from bramleylead.trials.fuzz._run import fuzz
from bramleylead.trials.fuzz._run import print_fuzz_report

S_PER_MINUTE = 60.0


def _define_flags(values: flags.FlagValues) -> None:
    targets = [target.value for target in TargetKind]
    flags.DEFINE_enum("target", targets[0], targets, "Where input arrives.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed; the same one draws the same cases.", flag_values=values)
    flags.DEFINE_float(
        "minutes", 10.0, "How long cases are sent.", lower_bound=0.01, flag_values=values
    )
    flags.DEFINE_integer(
        "cases", 0, "The most cases to send; 0 for no limit.", lower_bound=0, flag_values=values
    )
    flags.DEFINE_string("keep", "", "Folder for the cases of findings.", flag_values=values)


@command(
    "fuzz",
    usage="[CASE-FILE...]",
    summary="Sends odd input to real processes, beside sound requests that must be served.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Run once, or play the cases of files again; fails if there was a finding."""
    configure_logs("console", level=logging.CRITICAL)
    played = tuple(read_case(Path(word)) for word in words)
    settings = FuzzSettings(
        TargetKind(values.target),
        values.seed,
        values.minutes * S_PER_MINUTE,
        values.cases,
        values.keep,
        played,
    )
    report = anyio.run(fuzz, settings)
    print_fuzz_report(report)
    return ExitCode.FAILED if report.findings else ExitCode.OK
