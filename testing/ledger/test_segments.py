"""Segment files: what is whole is read, whatever lies beside it."""

from __future__ import annotations

import tempfile
import unittest
import zlib
from pathlib import Path

from structlog.testing import capture_logs

from bramleylead.connection import Done
from bramleylead.connection import encode
from bramleylead.ledger._segments import HEADER_BYTES
from bramleylead.ledger._segments import frame_record
from bramleylead.ledger._segments import read_segment
from testing.ledger._fleet import turn


def frame(body: bytes) -> bytes:
    return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body


class ReadSegmentTest(unittest.TestCase):
    def read(self, data: bytes) -> tuple[list[str], list[str]]:
        """Return the turns in a segment, and the events of the log."""
        with tempfile.TemporaryDirectory() as folder, capture_logs() as lines:
            path = Path(folder) / "0000000001.segment"
            path.write_bytes(data)
            turns = [record.turn for record in read_segment(path)]
        return turns, [line["event"] for line in lines]

    def test_a_record_of_another_kind_costs_only_itself(self) -> None:
        # Guards against a node that lacks all records behind one that its build does not know.
        for body in (b"\x93\xcd\xff\xff\x01\x02", b"no record", encode(Done())):
            with self.subTest(body=body):
                data = frame_record(turn("a")) + frame(body) + frame_record(turn("b"))
                self.assertEqual(self.read(data), (["a", "b"], ["record_unreadable"]))

    def test_zeros_at_the_end_are_a_torn_write(self) -> None:
        data = frame_record(turn("a")) + bytes(3 * HEADER_BYTES)
        self.assertEqual(self.read(data), (["a"], ["segment_torn"]))
