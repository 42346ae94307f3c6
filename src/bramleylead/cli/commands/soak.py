"""``bramleylead soak``: random programs under random faults, in virtual time or by processes."""

from __future__ import annotations

import logging
import traceback

import anyio
from absl import flags

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.logs import configure_logs
from bramleylead.trials._soak import PROFILES
from bramleylead.trials._soak import print_result
from bramleylead.trials._soak import soak
from bramleylead.trials.site._plan import KINDS_BY_NAME
from bramleylead.trials.site._soak import SoakSettings
from bramleylead.trials.site._soak import print_report
from bramleylead.trials.site._soak import soak_site

PROCESSES = "processes"
"""The profile that runs gateways and a ledger as real processes, in real time."""


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("seed", 1, "Seed; the same one gives the same run.", flag_values=values)
    flags.DEFINE_float(
        "minutes",
        30.0,
        "Minutes in which programs start and faults come: virtual ones, or real ones of processes.",
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_enum(
        "profile",
        "aspenhold",
        [*sorted(PROFILES), PROCESSES],
        "What runs, and its faults.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "gap_s",
        1.0,
        "Mean seconds between the faults of processes.",
        lower_bound=0.05,
        flag_values=values,
    )
    flags.DEFINE_enum(
        "faults",
        "all",
        sorted(KINDS_BY_NAME),
        "Which faults of processes come: those that aim at a process itself, the others, or all.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "other_build",
        "",
        "Folder with the package of another version, in which part of the processes start.",
        flag_values=values,
    )
    flags.DEFINE_boolean("verbose", False, "Show the nodes' warnings.", flag_values=values)


@command(
    "soak",
    summary="Runs random programs under random faults and judges the outcome.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Run one soak; its last line holds the figures. Fails if a promise was broken."""
    configure_logs("console", level=logging.WARNING if values.verbose else logging.CRITICAL)
    if values.profile == PROCESSES:
        settings = SoakSettings(
            values.seed,
            values.minutes * 60.0,
            values.gap_s,
            values.other_build,
            KINDS_BY_NAME[values.faults],
        )
        try:
            report = anyio.run(soak_site, settings)
        except BaseExceptionGroup as error:
            _print_causes(error)
            raise
        print_report(report)
        return ExitCode.FAILED if report.findings else ExitCode.OK
    result = soak(seed=values.seed, minutes=values.minutes, profile=values.profile)
    print_result(result, values.profile)
    return ExitCode.FAILED if result.violations else ExitCode.OK


def _print_causes(error: BaseException) -> None:
    """Print the errors within nested groups, whose depth exceeds what a traceback shows."""
    if isinstance(error, BaseExceptionGroup):
        for cause in error.exceptions:
            _print_causes(cause)
    else:
        traceback.print_exception(error)
