"""Single messages as bytes."""

from __future__ import annotations

import unittest

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.process.journal._entries import ProgramForgotten


class SingleMessageTest(unittest.TestCase):
    def test_a_message_comes_back_from_its_bytes(self) -> None:
        """Every decoding failed with a TypeError: unpackb takes no buffer limit."""
        self.assertEqual(decode(encode(ProgramForgotten("p"))), ProgramForgotten("p"))

    def test_too_many_bytes_are_refused(self) -> None:
        with self.assertRaises(MessageError):
            decode(b"\xc0" * (MAX_FRAME_BYTES + 1))


if __name__ == "__main__":
    unittest.main()
