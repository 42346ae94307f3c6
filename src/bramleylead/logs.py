"""Sets up structlog: JSON lines, or lines for people on a terminal."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog
from structlog.typing import Processor

from bramleylead._log_writer import BufferedLogger
from bramleylead._log_writer import LogWriter

LOG_FORMATS = ("json", "console")
TRACE = structlog.processors.ExceptionRenderer(
    structlog.tracebacks.ExceptionDictTransformer(show_locals=False)
)
"""Local variables hold prompts, answers and keys, so a trace names places only."""


def configure_logs(log_format: str, *, level: int = logging.INFO) -> None:
    """Set up logging to standard error for the whole process.

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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def configure_buffered_logs(
    writer: LogWriter, *, node: str, count_line: Processor | None = None
) -> None:
    """Set up logging as JSON lines to a writer that never holds up the event loop.

    :param node: named in every line.
    :param count_line: sees every line before any is dropped.
    """
    structlog.contextvars.bind_contextvars(node=node)
    logger = BufferedLogger(writer)
    structlog.configure(
        processors=[
            *([count_line] if count_line else []),
            writer.limit,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            *_renderers("json"),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: logger,
        cache_logger_on_first_use=True,
    )


def _renderers(log_format: str) -> list[Any]:
    if log_format == "console":
        renderer = structlog.dev.ConsoleRenderer(
            colors=sys.stderr.isatty(), exception_formatter=structlog.dev.plain_traceback
        )
        return [renderer]
    return [TRACE, structlog.processors.JSONRenderer()]
