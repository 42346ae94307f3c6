"""Log lines are bounded, and never hold up whoever writes them."""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import threading
import unittest
from pathlib import Path
from unittest import mock

import structlog

from bramleylead import _log_writer
from bramleylead._log_output import LogOutput
from bramleylead._log_writer import BUFFER_LINES
from bramleylead._log_writer import LINES_PER_KIND_PER_S
from bramleylead._log_writer import LogWriter
from bramleylead.logs import configure_buffered_logs

TIMEOUT_S = 10.0


class StuckStream(io.StringIO):
    """A pipe that nobody reads until a test lets go."""

    def __init__(self) -> None:
        super().__init__()
        self.free = threading.Event()

    def write(self, text: str) -> int:
        self.free.wait()
        return super().write(text)


class FailingStream(io.StringIO):
    """A stream that fails until a test mends it."""

    def __init__(self, error: Exception) -> None:
        super().__init__()
        self._error: Exception | None = error
        self.failed = threading.Event()

    def mend(self) -> None:
        self._error = None

    def write(self, text: str) -> int:
        if self._error is not None:
            self.failed.set()
            raise self._error
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


class FailingStreamTest(unittest.TestCase):
    """Guards against a log that is silent for good after the first error of its stream."""

    def setUp(self) -> None:
        retry = mock.patch.object(_log_writer, "RETRY_INTERVAL_S", 0.0, create=True)
        retry.start()
        self.addCleanup(retry.stop)

    def test_lines_are_written_again_once_the_stream_takes_them(self) -> None:
        errors = (
            BrokenPipeError(32, "Broken pipe"),
            OSError(28, "No space left on device"),
            UnicodeEncodeError("ascii", "x", 0, 1, "not in range"),
        )
        for error in errors:
            with self.subTest(error=type(error).__name__):
                stream = FailingStream(error)
                with LogWriter(stream) as writer:
                    writer.write('{"event": "lost"}')
                    self.assertTrue(stream.failed.wait(TIMEOUT_S))
                    stream.mend()
                    writer.write('{"event": "written"}')
                lines = [json.loads(line) for line in stream.getvalue().splitlines()]
                self.assertIn({"event": "written"}, lines)
                notice = next(line for line in lines if line["event"] == "log_lines_dropped")
                self.assertIn(type(error).__name__, notice["reason"])
                self.assertEqual(writer.gauges(), {"log_lines_dropped": notice["lines"]})

    def test_a_slow_reader_of_a_non_blocking_pipe_gets_each_line_whole(self) -> None:
        reader, descriptor = os.pipe()
        os.set_blocking(descriptor, False)
        written = [f"{number:04d} {'x' * 500}" for number in range(400)]
        read: list[str] = []
        all_read = threading.Event()

        def read_lines() -> None:
            with os.fdopen(reader) as lines:
                for line in lines:
                    read.append(line.removesuffix("\n"))
                    if len(read) == len(written):
                        all_read.set()

        thread = threading.Thread(target=read_lines)
        with (
            os.fdopen(descriptor, "wb", buffering=0) as raw,
            LogWriter(io.TextIOWrapper(raw, write_through=True)) as writer,
        ):
            for line in written:
                writer.write(line)
            thread.start()
            all_read.wait(TIMEOUT_S)
        thread.join()
        self.assertEqual(read, written)

    def test_a_line_that_broke_off_is_ended_before_the_next_one(self) -> None:
        taken: list[bytes] = []
        limits = [3, None, 1_000, 1_000]

        def write(descriptor: int, data: bytes) -> int:
            limit = limits.pop(0)
            if limit is None:
                raise OSError(28, "No space left on device")
            taken.append(bytes(data[:limit]))
            return len(taken[-1])

        with Path(os.devnull).open("w") as stream, mock.patch.object(os, "write", write):
            writer = LogWriter(stream)
            writer.write("first")
            self.assertFalse(writer._flush())
            writer.write("second")
            self.assertTrue(writer._flush())
        self.assertEqual(b"".join(taken).splitlines()[:2], [b"fir", b"second"])
        self.assertEqual(writer.lines_dropped, 1)

    def test_a_lack_of_memory_costs_the_lines_in_hand(self) -> None:
        stream = io.StringIO()
        failed = threading.Event()
        put = LogOutput.put

        def put_later(output: LogOutput, text: str) -> object:
            if not failed.is_set():
                failed.set()
                raise MemoryError
            return put(output, text)

        with mock.patch.object(LogOutput, "put", put_later), LogWriter(stream) as writer:
            writer.write('{"event": "lost"}')
            self.assertTrue(failed.wait(TIMEOUT_S))
            writer.write('{"event": "written"}')
        events = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertIn({"event": "written"}, events)
        self.assertIn("MemoryError", [line.get("reason") for line in events])

    def test_surrogates_in_a_line_are_escaped(self) -> None:
        with Path(os.devnull).open("w") as stream, mock.patch.object(os, "write") as write:
            write.side_effect = lambda descriptor, data: len(data)
            with LogWriter(stream) as writer:
                writer.write("name \udcff")
        self.assertEqual([bytes(call.args[1]) for call in write.mock_calls], [b"name \\udcff\n"])

    def test_a_process_whose_reader_is_gone_ends_with_code_0(self) -> None:
        reader, descriptor = os.pipe()
        os.close(reader)
        code = (
            "import sys; from bramleylead._log_writer import LogWriter\n"
            "with LogWriter(sys.stdout) as writer: writer.write('line')\n"
        )
        command = [sys.executable, "-c", code]
        ended = subprocess.run(command, stdout=descriptor, stderr=subprocess.PIPE, check=False)
        os.close(descriptor)
        self.assertEqual((ended.returncode, ended.stderr), (0, b""))

    def test_lines_wait_until_the_system_has_a_thread_for_them(self) -> None:
        stream = io.StringIO()
        error = RuntimeError("can't start new thread")
        with mock.patch.object(threading.Thread, "start", side_effect=error):
            writer = LogWriter(stream).__enter__()
            writer.write("early")
        writer.write("late")
        writer.__exit__(None, None, None)
        self.assertEqual(stream.getvalue().splitlines(), ["early", "late"])
