"""Sets up structlog: JSON lines, or lines for people on a terminal."""

from __future__ import annotations

import logging
import sys
from typing import Any
from typing import TextIO

import structlog

LOG_FORMATS = ("json", "console")


def configure_logs(
    log_format: str, *, level: int = logging.INFO, stream: TextIO | None = None
) -> None:
    """Set up logging for the whole process.

    :param stream: standard error if left out.
    :raises ValueError: for an unknown format.
    """
    if log_format not in LOG_FORMATS:
        raise ValueError(f"log format {log_format}: must be one of {', '.join(LOG_FORMATS)}")
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *_renderers(log_format),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


def _renderers(log_format: str) -> list[Any]:
    if log_format == "console":
        return [structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())]
    return [structlog.processors.dict_tracebacks, structlog.processors.JSONRenderer()]
