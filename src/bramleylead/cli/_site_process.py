"""What the commands of a deployment's two roles share: settings, logs, and how they end."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import TextIO
from typing import TypeVar

import anyio
from absl import flags
from result import Err

from bramleylead._event_loop import new_event_loop
from bramleylead._log_writer import LogWriter
from bramleylead._signals import SignalInbox
from bramleylead._signals import signals_of
from bramleylead.cli._exit import ExitCode
from bramleylead.cli._process_log import log_failed
from bramleylead.cli._process_log import log_started
from bramleylead.cli._process_log import log_stopped
from bramleylead.cli._settings_reading import read_settings
from bramleylead.logs import configure_buffered_logs
from bramleylead.site_metrics import SiteMetrics
from bramleylead.site_settings import SiteSettings
from bramleylead.site_settings import load_settings

SETTINGS_VARIABLE = "BRAMLEYLEAD_NODE_FILE"

_S = TypeVar("_S", bound=SiteSettings)
RunRole = Callable[[_S, Path, SiteMetrics, SignalInbox], Awaitable[signal.Signals]]
"""Runs a role until a signal, and returns which one."""


def define_settings_flag(values: flags.FlagValues) -> None:
    """Define ``--settings``."""
    flags.DEFINE_string(
        "settings",
        "",
        f"JSON file with the settings; else the one that {SETTINGS_VARIABLE} names.",
        flag_values=values,
    )


def run_site_process(name: str, model: type[_S], run: RunRole[_S], values: flags.FlagValues) -> int:
    """Check the settings whole, then run until a signal; the log's last line says how it ended."""
    file = values.settings or os.environ.get(SETTINGS_VARIABLE, "")
    if not file:
        _report(f"{name}: name a file by --settings or {SETTINGS_VARIABLE}")
        return ExitCode.USAGE
    with signals_of(name) as signals:
        found = read_settings(Path(file), signals, report=_report)
        if found.trouble is not None:
            return _end_without_settings(file, found.trouble, signals.stop_signal)
        loaded = load_settings(model, found.text)
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                _report(f"{file}: {fault}")
            return ExitCode.INVALID
        return _run_role(name, run, loaded.ok_value, Path(file), signals)


def _end_without_settings(file: str, trouble: str, number: signal.Signals | None) -> ExitCode:
    if number is None:
        _report(f"{file}: {trouble}")
        return ExitCode.INVALID
    _report(f"{file}: {trouble}: stopped by {number.name}")
    return ExitCode.OK


@contextmanager
def _standard_output() -> Iterator[TextIO]:
    """Yield the standard output, or the null device if the process was started without one."""
    if sys.stdout is not None:
        yield sys.stdout
        return
    with Path(os.devnull).open("w") as stream:
        yield stream


def _report(line: str) -> None:
    """Write a line to standard error, if that takes it."""
    with suppress(OSError):
        print(line, file=sys.stderr, flush=True)


def _run_role(
    name: str, run: RunRole[_S], settings: _S, file: Path, signals: SignalInbox
) -> ExitCode:
    with _standard_output() as stream, LogWriter(stream) as writer:
        metrics = SiteMetrics()
        metrics.describe_log(writer.gauges)
        configure_buffered_logs(writer, node=settings.node, count_line=metrics.count_line)
        log_started(name, file)
        if signals.stop_signal is not None:
            return log_stopped(name, signals.stop_signal)
        body = partial(run, settings, file, metrics, signals)
        options = {"loop_factory": new_event_loop}
        try:
            number = anyio.run(body, backend="asyncio", backend_options=options)
        except Exception as error:
            return log_failed(name, error)
        return log_stopped(name, number)
