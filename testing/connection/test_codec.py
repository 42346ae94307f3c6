"""Encoding and decoding of single messages."""

from __future__ import annotations

import tracemalloc
import unittest

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.connection._codec import from_plain
from bramleylead.ledger._messages import AskRecords
from bramleylead.process.journal._entries import ProgramForgotten

ASK_RECORDS_CODE = 176
WRONG_FIELDS = 300_000
MAX_PEAK_BYTES = 5_000_000


class SingleMessageTest(unittest.TestCase):
    def test_a_message_survives_encoding_and_decoding(self) -> None:
        """Every decode raised a TypeError, because a buffer limit was passed to unpackb."""
        self.assertEqual(decode(encode(ProgramForgotten("p"))), ProgramForgotten("p"))

    def test_an_oversized_message_is_refused(self) -> None:
        with self.assertRaises(MessageError):
            decode(b"\xc0" * (MAX_FRAME_BYTES + 1))

    # Guards against a process that stands still for half a minute and holds 4 GB of reasons.
    def test_the_first_wrong_field_of_a_message_ends_its_validation(self) -> None:
        with self.assertRaisesRegex(MessageError, AskRecords.__name__):
            from_plain([ASK_RECORDS_CODE, [None]])
        plain = [ASK_RECORDS_CODE, [None] * WRONG_FIELDS]
        tracemalloc.start()
        with self.assertRaises(MessageError):
            from_plain(plain)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertLess(peak, MAX_PEAK_BYTES)


if __name__ == "__main__":
    unittest.main()
