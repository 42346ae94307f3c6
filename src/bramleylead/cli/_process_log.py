"""The first and the last line that a process of a deployment writes to its log."""

from __future__ import annotations

import errno
import os
import platform
import resource
import signal
import traceback
from collections.abc import Iterator
from pathlib import Path

import structlog

import bramleylead
from bramleylead.cli._exit import ExitCode

MAX_TEXT_CHARACTERS = 300
PACKAGE_FOLDER = str(Path(bramleylead.__file__).parent)


def log_started(role: str, file: Path) -> None:
    """Write what runs here, and within which limit of descriptors.

    :param file: the settings file.
    """
    structlog.get_logger().info(
        "process_started",
        role=role,
        version=bramleylead.__version__,
        pid=os.getpid(),
        python=platform.python_version(),
        machine=os.uname().machine,
        descriptors=resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        file=str(file),
    )


def log_stopped(role: str, number: signal.Signals) -> ExitCode:
    """Write which signal stopped the process; return its exit code."""
    _log_ended(role, "stopped", ExitCode.OK, signal=number.name)
    return ExitCode.OK


def log_failed(role: str, error: Exception) -> ExitCode:
    """Write which error ended the process, and in which task; return its exit code."""
    leaves = list(_leaves(error))
    is_refusal = all(isinstance(leaf, OSError) for leaf in leaves)
    code = ExitCode.SYSTEM_REFUSED if is_refusal else ExitCode.UNEXPECTED
    first = leaves[0]
    places = _places(first)
    _log_ended(
        role,
        "failed",
        code,
        error=type(first).__name__,
        errno=_errno_name(first),
        text=str(first)[:MAX_TEXT_CHARACTERS],
        task=places[0],
        place=places[-1],
        errors=len(leaves),
        exc_info=error,
    )
    return code


def _log_ended(role: str, reason: str, code: ExitCode, **fields: object) -> None:
    log = structlog.get_logger()
    write = log.info if code is ExitCode.OK else log.error
    write("process_ended", role=role, reason=reason, exit_code=int(code), **fields)


def _leaves(error: BaseException) -> Iterator[BaseException]:
    """Yield an error, or those of a group and of the groups in it."""
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for inner in error.exceptions:
        yield from _leaves(inner)


def _errno_name(error: BaseException) -> str | None:
    number = error.errno if isinstance(error, OSError) else None
    return None if number is None else errno.errorcode.get(number, str(number))


def _places(error: BaseException) -> list[str]:
    """Return the package's functions on the way to an error, the outermost first.

    An error that ended a task begins there, so that the first is the task's function.
    """
    frames = [frame for frame, _ in traceback.walk_tb(error.__traceback__)]
    own = [frame for frame in frames if frame.f_code.co_filename.startswith(PACKAGE_FOLDER)]
    return [f"{f.f_globals['__name__']}.{f.f_code.co_qualname}" for f in own] or ["(unknown)"]
