"""``bramleylead node``: runs one node."""

from __future__ import annotations

import sys
from pathlib import Path

import anyio
from absl import flags
from result import Err

from bramleylead._event_loop import new_event_loop
from bramleylead._signals import signals_of
from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.logs import configure_logs
from bramleylead.process._run_node import run_node
from bramleylead.process._settings_file import load_settings


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("settings", "", "JSON file with the node's settings.", flag_values=values)


@command(
    "node",
    summary="Runs one node until SIGTERM; a second one ends it at once, SIGUSR1 dumps its state.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Check the settings whole, then serve until a signal."""
    if not values.settings or words:
        print("node: one file must be named by --settings, and no words", file=sys.stderr)
        return ExitCode.USAGE
    loaded = load_settings(Path(values.settings))
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(f"{values.settings}: {fault}", file=sys.stderr)
        return ExitCode.INVALID
    settings = loaded.ok_value
    configure_logs(settings.log_format)
    code = ExitCode.INVALID
    try:
        options = {"loop_factory": new_event_loop}
        with signals_of("node") as signals:
            graceful = anyio.run(
                run_node, settings, signals, backend="asyncio", backend_options=options
            )
        code = ExitCode.OK if graceful else ExitCode.FAILED
    except* (OSError, ValueError) as errors:
        for error in _leaves(errors):
            print(f"node: {settings.node}: {error}", file=sys.stderr)
    return code


def _leaves(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    """Return the errors of a group and of the groups in it."""
    found: list[BaseException] = []
    for error in group.exceptions:
        found += _leaves(error) if isinstance(error, BaseExceptionGroup) else [error]
    return found
