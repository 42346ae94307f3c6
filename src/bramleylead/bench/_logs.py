"""``bramleylead bench logs``: what a line of a gateway's log costs, by what is done with it.

A kept turn writes seven lines: accepted, turn found, budget reserved, replica chosen, stream begun,
turn kept, answered.
"""

from __future__ import annotations

import io
import logging
import statistics
import time
from collections.abc import Callable

import structlog

from bramleylead._log_writer import LogWriter
from bramleylead.bench import Figure
from bramleylead.bench import bench
from bramleylead.logs import configure_buffered_logs
from bramleylead.site_metrics import SiteMetrics

LINES = 1_500
"""Below the limit of lines of one kind in a second, so that none is dropped."""
ROUNDS = 10
LINES_A_TURN = 7
US_PER_S = 1e6


def _processor_us(write: Callable[[], None]) -> float:
    """Return the processor time of one line, over many."""
    before = time.process_time()
    for _ in range(LINES):
        write()
    return (time.process_time() - before) / LINES * US_PER_S


def _write_line(log: structlog.typing.FilteringBoundLogger) -> None:
    log.info(
        "replica_chosen",
        request="9c41d07be2a35f68",
        program="3fa81c",
        replica="i-7f3a91c2",
        running=3.2,
        own=1,
        cost=4761,
        among=9,
        configuration=12,
    )


def _on(*, count: bool) -> float:
    metrics = SiteMetrics()
    with LogWriter(io.StringIO()) as writer:
        configure_buffered_logs(writer, node="n", count_line=metrics.count_line if count else None)
        log = structlog.get_logger()
        return _processor_us(lambda: _write_line(log))


def _off() -> float:
    """Return the cost of a line that is filtered out before anything is done with it."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    log = structlog.get_logger()
    return _processor_us(lambda: _write_line(log))


@bench("logs")
def run(arguments: list[str]) -> int:
    """Print the costs of a line."""
    off = statistics.median(_off() for _ in range(ROUNDS))
    for name, count in (("line", False), ("line_counted", True)):
        value = statistics.median(_on(count=count) for _ in range(ROUNDS))
        print(Figure(f"logs.{name}", value, "us", baseline=off).to_json())
        print(Figure(f"logs.{name}.turn", value * LINES_A_TURN, "us").to_json())
    structlog.reset_defaults()
    return 0
