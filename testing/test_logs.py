"""Logs go to standard error, as JSON or for people."""

from __future__ import annotations

import contextlib
import io
import json
import unittest

import structlog

from bramleylead.logs import LOG_FORMATS
from bramleylead.logs import configure_logs


def fail_with(secret: str) -> None:
    raise LookupError


class LogsTest(unittest.TestCase):
    def tearDown(self) -> None:
        structlog.reset_defaults()

    def written(self, log_format: str) -> str:
        with contextlib.redirect_stderr(io.StringIO()) as stream:
            configure_logs(log_format)
            structlog.get_logger().info("node_started", node="n1")
        return stream.getvalue()

    def test_json_lines(self) -> None:
        line = json.loads(self.written("json"))
        self.assertEqual(
            (line["event"], line["node"], line["level"]), ("node_started", "n1", "info")
        )

    def test_lines_for_people(self) -> None:
        self.assertIn("node_started", self.written("console"))

    # Guards against prompts and keys in the log: a trace held the local variables of its frames.
    def test_a_trace_holds_no_values(self) -> None:
        secret = "-".join(("key", "of", "the", "cluster"))
        for log_format in LOG_FORMATS:
            with contextlib.redirect_stderr(io.StringIO()) as stream:
                configure_logs(log_format)
                try:
                    fail_with(secret)
                except LookupError:
                    structlog.get_logger().exception("task_failed")
            self.assertIn("fail_with", stream.getvalue())
            self.assertNotIn(secret, stream.getvalue())

    def test_an_unknown_format(self) -> None:
        with self.assertRaises(ValueError):
            configure_logs("xml")


if __name__ == "__main__":
    unittest.main()
