"""Encoding and decoding of single messages."""

from __future__ import annotations

import tracemalloc
import typing
import unittest
from enum import Enum
from typing import Any

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from pydantic import TypeAdapter

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.connection._codec import _classes_by_code
from bramleylead.connection._codec import from_plain
from bramleylead.ledger._messages import AskRecords
from bramleylead.process.journal._entries import ProgramForgotten

ASK_RECORDS_CODE = 176
KEYS_CODE = 175
HELLO_CODE = 1
FAILED_CODE = 2
WRONG_FIELDS = 300_000
MAX_PEAK_BYTES = 5_000_000
INTEGERS = st.integers(-(2**63), 2**64 - 1)
TEXTS = st.text(st.characters(exclude_categories=["Cs"]), max_size=8)
FINITE = st.floats(allow_nan=False)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | INTEGERS | FINITE | TEXTS,
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(TEXTS, inner, max_size=2),
    max_leaves=3,
)
PLAIN_VALUES = {
    int: INTEGERS,
    str: TEXTS,
    float: FINITE,
    bool: st.booleans(),
    bytes: st.binary(max_size=8),
    Any: JSON_VALUES,
    type(None): st.none(),
}


def values_of(hint: Any) -> st.SearchStrategy[Any]:
    """Return values of a field's type."""
    if hint in PLAIN_VALUES:
        return PLAIN_VALUES[hint]
    arguments = typing.get_args(hint)
    origin = typing.get_origin(hint) or hint
    if origin is tuple and Ellipsis not in arguments:
        return st.tuples(*map(values_of, arguments))
    if origin in (tuple, list):
        return st.lists(values_of(arguments[0]), max_size=2).map(origin)
    if origin is dict:
        return st.dictionaries(*map(values_of, arguments), max_size=2)
    if arguments:
        return st.one_of(map(values_of, arguments))
    if issubclass(hint, Enum):
        return st.sampled_from(hint)
    hints = typing.get_type_hints(hint)
    return st.deferred(lambda: st.builds(hint, *(values_of(hints[f]) for f in hint._fields)))


class SingleMessageTest(unittest.TestCase):
    def test_a_message_survives_encoding_and_decoding(self) -> None:
        """Every decode raised a TypeError, because a buffer limit was passed to unpackb."""
        self.assertEqual(decode(encode(ProgramForgotten("p"))), ProgramForgotten("p"))

    # Guards against a reading that differs from that of former builds, which used pydantic.
    @settings(
        derandomize=True,
        deadline=None,
        max_examples=200,
        suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
    )
    @given(st.data())
    def test_messages_are_read_as_former_builds_read_them(self, data: st.DataObject) -> None:
        code = data.draw(st.sampled_from(sorted(_classes_by_code)))
        cls = _classes_by_code[code]
        item = data.draw(values_of(cls))
        self.assertEqual(decode(encode(item)), item)
        self.assertEqual(TypeAdapter(cls).validate_python(list(item)), item)

    def test_values_of_another_type_are_refused(self) -> None:
        for wrong in ("x", 1.5, None, [1], b"x"):
            with self.subTest(wrong), self.assertRaisesRegex(MessageError, "invalid Keys"):
                from_plain([KEYS_CODE, "run", wrong, [], False])

    # Guards against an error other than MessageError, which ends the task that reads the message.
    def test_text_that_is_no_unicode_is_refused(self) -> None:
        with self.assertRaisesRegex(MessageError, "invalid AskRecords"):
            from_plain([ASK_RECORDS_CODE, "\ud800"])

    def test_text_is_not_taken_for_bytes(self) -> None:
        with self.assertRaisesRegex(MessageError, "invalid Hello"):
            from_plain([HELLO_CODE, 2, "n", "YWJj"])

    def test_an_integer_is_read_where_a_number_is_expected(self) -> None:
        self.assertEqual(from_plain([FAILED_CODE, "internal", "x", 1]).retry_after_s, 1.0)

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
