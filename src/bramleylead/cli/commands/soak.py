"""``bramleylead soak``: random programs under random faults, in virtual time."""

from __future__ import annotations

import logging

from absl import flags

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.logs import configure_logs
from bramleylead.trials._soak import PROFILES
from bramleylead.trials._soak import print_result
from bramleylead.trials._soak import soak


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("seed", 1, "Seed; the same one gives the same run.", flag_values=values)
    flags.DEFINE_float(
        "minutes",
        30.0,
        "Virtual minutes in which programs start and faults come.",
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_enum(
        "profile", "aspenhold", sorted(PROFILES), "What runs, and its faults.", flag_values=values
    )
    flags.DEFINE_boolean("verbose", False, "Show the nodes' warnings.", flag_values=values)


@command(
    "soak",
    summary="Runs random programs under random faults in virtual time and judges the outcome.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Run one soak; its last line holds the figures. Fails if a promise was broken."""
    configure_logs("console", level=logging.WARNING if values.verbose else logging.CRITICAL)
    result = soak(seed=values.seed, minutes=values.minutes, profile=values.profile)
    print_result(result, values.profile)
    return ExitCode.FAILED if result.violations else ExitCode.OK
