"""Log lines are bounded, and never hold up whoever writes them."""

from __future__ import annotations

import io
import json
import threading
import unittest

import structlog

from bramleylead import _log_writer
from bramleylead._log_writer import BUFFER_LINES
from bramleylead._log_writer import LINES_PER_KIND_PER_S
from bramleylead._log_writer import LogWriter
from bramleylead.logs import configure_buffered_logs


class StuckStream(io.StringIO):
    """A pipe that nobody reads until a test lets go."""

    def __init__(self) -> None:
        super().__init__()
        self.free = threading.Event()

    def write(self, text: str) -> int:
        self.free.wait()
        return super().write(text)


class LogWriterTest(unittest.TestCase):
    def tearDown(self) -> None:
        structlog.reset_defaults()
        structlog.contextvars.clear_contextvars()

    def test_lines_are_json_and_name_the_node(self) -> None:
        stream = io.StringIO()
        with LogWriter(stream) as writer:
            configure_buffered_logs(writer, node="n1")
            structlog.get_logger().info("request_accepted", request="q1")
        line = json.loads(stream.getvalue())
        self.assertEqual(
            (line["event"], line["node"], line["request"], line["level"]),
            ("request_accepted", "n1", "q1", "info"),
        )
        self.assertIn("timestamp", line)

    def test_a_reader_that_stands_still_costs_lines_and_no_time(self) -> None:
        stream = StuckStream()
        with LogWriter(stream) as writer:
            for number in range(2 * BUFFER_LINES):
                writer.write(f'{{"event": "line", "number": {number}}}')
            self.assertLessEqual(len(writer._lines), BUFFER_LINES)
            stream.free.set()
        events = [json.loads(line) for line in stream.getvalue().splitlines()]
        dropped = sum(line["lines"] for line in events if line["event"] == "log_lines_dropped")
        kept = sum(line["event"] == "line" for line in events)
        self.assertGreater(dropped, 0)
        self.assertEqual(dropped + kept, 2 * BUFFER_LINES)

    def test_a_kind_of_line_that_comes_too_often_is_dropped_and_counted(self) -> None:
        now = [0.0]
        writer = LogWriter(io.StringIO())
        clock, _log_writer.time.monotonic = _log_writer.time.monotonic, lambda: now[0]
        self.addCleanup(setattr, _log_writer.time, "monotonic", clock)
        writer._kinds_since = 0.0
        for _ in range(LINES_PER_KIND_PER_S):
            writer.limit(None, "info", {"event": "often"})
        with self.assertRaises(structlog.DropEvent):
            writer.limit(None, "info", {"event": "often"})
        writer.limit(None, "info", {"event": "seldom"})
        now[0] = 1.5
        writer.limit(None, "info", {"event": "often"})
        notice = json.loads(writer._lines[0])
        self.assertEqual(
            (notice["event"], notice["kind"], notice["lines"]), ("log_lines_suppressed", "often", 1)
        )
