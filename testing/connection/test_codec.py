"""Encoding and decoding of single messages."""

from __future__ import annotations

import unittest

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.process.journal._entries import ProgramForgotten


class SingleMessageTest(unittest.TestCase):
    def test_a_message_survives_encoding_and_decoding(self) -> None:
        """Every decode raised a TypeError, because a buffer limit was passed to unpackb."""
        self.assertEqual(decode(encode(ProgramForgotten("p"))), ProgramForgotten("p"))

    def test_an_oversized_message_is_refused(self) -> None:
        with self.assertRaises(MessageError):
            decode(b"\xc0" * (MAX_FRAME_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
